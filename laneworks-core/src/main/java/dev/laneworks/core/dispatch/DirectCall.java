package dev.laneworks.core.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.verdict.Verdict;

/**
 * One request and all that was done for it so far.
 */
final class DirectCall {

	// The value of {@link #lastEvent} while the caller was sent no event.
	static final long NO_EVENT = -1;

	private final long number;

	private final DirectRequest request;

	private final long openedAt;

	private final Set<String> tried = new HashSet<>();

	private Optional<Attempt> attempt = Optional.empty();

	private Optional<Attempt> successor = Optional.empty();

	private int attempts;

	private int arrivals;

	private int runs;

	private Verdict verdict = Verdict.NOT_RUN;

	private boolean streaming;

	private long lastEvent = NO_EVENT;

	private long lastEventAt;

	private long longestPause;

	private long eventAfterPause = NO_EVENT;

	private Optional<Copying> copying = Optional.empty();

	private Optional<Standby> standby = Optional.empty();

	DirectCall(long number, DirectRequest request, long openedAt) {
		this.number = number;
		this.request = request;
		this.openedAt = openedAt;
	}

	long number() {
		return this.number;
	}

	DirectRequest request() {
		return this.request;
	}

	long openedAt() {
		return this.openedAt;
	}

	// When the caller gives the request up.
	long patienceEndsAt() {
		return this.openedAt + this.request.patienceMillis();
	}

	// When the request gets its final answer at the latest.
	long dueAt() {
		return Math.min(patienceEndsAt(), this.openedAt + this.request.route().timeoutMillis());
	}

	Set<String> tried() {
		return this.tried;
	}

	// The attempt whose answer the caller gets.
	Optional<Attempt> attempt() {
		return this.attempt;
	}

	// The attempt that goes on with the generation once its first event is there.
	Optional<Attempt> successor() {
		return this.successor;
	}

	Optional<Attempt> find(int number) {
		return Stream.concat(this.attempt.stream(), this.successor.stream())
			.filter((a) -> a.number() == number)
			.findFirst();
	}

	boolean isSuccessor(Attempt candidate) {
		return this.successor.filter((a) -> a == candidate).isPresent();
	}

	Attempt begin(ListedTarget target, Optional<ResumePoint> resume, Optional<ListedTarget> backup) {
		this.attempts++;
		return new Attempt(this.attempts, target, resume, backup);
	}

	void use(Attempt current) {
		this.attempt = Optional.of(current);
	}

	void succeedBy(Attempt next) {
		this.successor = Optional.of(next);
	}

	void promoteSuccessor() {
		this.attempt = this.successor;
		this.successor = Optional.empty();
	}

	void end(Attempt ended) {
		if (isSuccessor(ended)) {
			this.successor = Optional.empty();
		}
		else {
			this.attempt = Optional.empty();
		}
	}

	int attempts() {
		return this.attempts;
	}

	// How often the request was written to a target.
	int arrivals() {
		return this.arrivals;
	}

	void arrived() {
		this.arrivals++;
		this.verdict = Verdict.MAY_HAVE_RUN;
	}

	// How many targets may have run the request.
	int runs() {
		return this.runs;
	}

	void mayHaveRun() {
		this.runs++;
	}

	void didNotRun() {
		if (this.runs == 0) {
			this.verdict = Verdict.NOT_RUN;
		}
	}

	Verdict verdict() {
		return this.verdict;
	}

	boolean isStreaming() {
		return this.streaming;
	}

	void startStreaming() {
		this.streaming = true;
	}

	long lastEvent() {
		return this.lastEvent;
	}

	String lastEventText() {
		return (this.lastEvent != NO_EVENT) ? Long.toString(this.lastEvent) : "";
	}

	long lastEventAt() {
		return this.lastEventAt;
	}

	// The longest pause between two events, in milliseconds.
	long longestPause() {
		return this.longestPause;
	}

	// The event behind the longest pause.
	long eventAfterPause() {
		return this.eventAfterPause;
	}

	void passed(long event, long now) {
		if (this.lastEvent != NO_EVENT && now - this.lastEventAt > this.longestPause) {
			this.longestPause = now - this.lastEventAt;
			this.eventAfterPause = event;
		}
		this.lastEvent = event;
		this.lastEventAt = now;
	}

	// The copy that is kept for when the engine leaves or dies.
	Optional<Standby> standby() {
		return this.standby;
	}

	void standby(Optional<Standby> kept) {
		this.standby = kept;
	}

	Optional<Copying> copying() {
		return this.copying;
	}

	void copy(Copying started) {
		this.copying = Optional.of(started);
	}

	void endCopy() {
		this.copying = Optional.empty();
	}

	/**
	 * One sending of the request to one target.
	 */
	static final class Attempt {

		private final int number;

		private final ListedTarget target;

		private final Optional<ResumePoint> resume;

		private Optional<ListedTarget> backup;

		private long heldTokens;

		private long unreadTokens;

		private long sentAt = -1;

		private boolean answering;

		Attempt(int number, ListedTarget target, Optional<ResumePoint> resume, Optional<ListedTarget> backup) {
			this.number = number;
			this.target = target;
			this.resume = resume;
			this.backup = backup;
		}

		int number() {
			return this.number;
		}

		ListedTarget target() {
			return this.target;
		}

		Optional<ResumePoint> resume() {
			return this.resume;
		}

		// The engine memory that this attempt is counted with.
		long heldTokens() {
			return this.heldTokens;
		}

		void holds(long tokens) {
			this.heldTokens = tokens;
		}

		// The tokens of the prompt that the engine has yet to read.
		long unreadTokens() {
			return this.unreadTokens;
		}

		void unread(long tokens) {
			this.unreadTokens = tokens;
		}

		// The target that a copy of the generation grows at, if any.
		Optional<ListedTarget> backup() {
			return this.backup;
		}

		void dropBackup() {
			this.backup = Optional.empty();
		}

		boolean isSent() {
			return this.sentAt >= 0;
		}

		long sentAt() {
			return this.sentAt;
		}

		void sent(long now) {
			this.sentAt = now;
		}

		boolean isAnswering() {
			return this.answering;
		}

		void answering() {
			this.answering = true;
		}

	}

	/**
	 * A copy that is kept up to date now and then.
	 */
	static final class Standby {

		private final ListedTarget source;

		private final ListedTarget destination;

		private final long promisedTokens;

		private String handle = "";

		private long copiedTokens;

		private long copiedAt;

		Standby(ListedTarget source, ListedTarget destination, long promisedTokens) {
			this.source = source;
			this.destination = destination;
			this.promisedTokens = promisedTokens;
		}

		ListedTarget source() {
			return this.source;
		}

		ListedTarget destination() {
			return this.destination;
		}

		long promisedTokens() {
			return this.promisedTokens;
		}

		// The copy's name at the source; empty until it was made once.
		String handle() {
			return this.handle;
		}

		long copiedTokens() {
			return this.copiedTokens;
		}

		long copiedAt() {
			return this.copiedAt;
		}

		void copied(String name, long tokens, long now) {
			this.handle = name;
			this.copiedTokens = tokens;
			this.copiedAt = now;
		}

	}

	/**
	 * A copy of the running generation under way to another engine.
	 */
	static final class Copying {

		private final ListedTarget source;

		private final Set<String> tried = new HashSet<>();

		private Phase phase = Phase.WAITING;

		private ListedTarget destination;

		private long promisedTokens;

		private long notBefore;

		private long orderedAt;

		private String handle = "";

		private boolean sourceClosed;

		private boolean counted;

		Copying(ListedTarget source) {
			this.source = source;
			this.tried.add(source.id());
		}

		ListedTarget source() {
			return this.source;
		}

		Set<String> tried() {
			return this.tried;
		}

		Phase phase() {
			return this.phase;
		}

		void enter(Phase next) {
			this.phase = next;
		}

		ListedTarget destination() {
			return this.destination;
		}

		void to(ListedTarget chosen, long tokens) {
			this.destination = chosen;
			this.promisedTokens = tokens;
		}

		long promisedTokens() {
			return this.promisedTokens;
		}

		// When the copy may be tried again.
		long notBefore() {
			return this.notBefore;
		}

		void notBefore(long time) {
			this.notBefore = time;
		}

		long orderedAt() {
			return this.orderedAt;
		}

		void ordered(long now) {
			this.orderedAt = now;
		}

		String handle() {
			return this.handle;
		}

		void handle(String name) {
			this.handle = name;
		}

		// Whether other entries are told that this generation is to be moved.
		boolean isCounted() {
			return this.counted;
		}

		void counted(boolean isCounted) {
			this.counted = isCounted;
		}

		boolean isSourceClosed() {
			return this.sourceClosed;
		}

		void sourceClosed() {
			this.sourceClosed = true;
		}

	}

	/**
	 * How far a copy has come.
	 */
	enum Phase {

		/** Other copies go first. */
		WAITING,

		/** The run goes on while its memory is copied. */
		AHEAD,

		/** The run was told to stop, and the rest is copied. */
		STOPPING,

		/** The copy is whole, and the generation can go on there. */
		STOPPED

	}

}
