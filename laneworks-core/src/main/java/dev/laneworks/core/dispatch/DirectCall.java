package dev.laneworks.core.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.poison.PromptPartDigests;
import dev.laneworks.core.verdict.Verdict;
import dev.laneworks.core.waiting.QueuedGeneration;

/**
 * State of one request from its admission to its final answer.
 */
final class DirectCall {

	// The value of lastEvent() until the caller has received an event.
	static final long NO_EVENT = -1;

	private final long number;

	private final DirectRequest request;

	private final long openedAt;

	private final PromptPartDigests prompt;

	private final Set<String> tried = new HashSet<>();

	private Optional<Attempt> attempt = Optional.empty();

	private Optional<Attempt> successor = Optional.empty();

	private int attempts;

	private String lastTarget = "";

	private int timesSent;

	private int possibleRuns;

	private Verdict verdict = Verdict.NOT_RUN;

	private boolean streaming;

	private boolean harmless;

	private long lastEvent = NO_EVENT;

	private long eventCount;

	private boolean lacksEvent;

	private long firstEventAt;

	private long lastEventAt;

	private long longestPauseMillis;

	private long eventAfterLongestPause = NO_EVENT;

	private Optional<GenerationMove> move = Optional.empty();

	private Optional<StandbyCopy> standby = Optional.empty();

	private List<ListedTarget> holders = List.of();

	private Optional<QueuedGeneration> place = Optional.empty();

	private OptionalInt queuedBehind = OptionalInt.empty();

	private long queuedAt;

	private long startedAt;

	DirectCall(long number, DirectRequest request, long openedAt) {
		this.number = number;
		this.request = request;
		this.openedAt = openedAt;
		this.prompt = PromptPartDigests.of(request.account(), request.service(),
				request.size().map(GenerationSize::partIds).orElse(List.of()));
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

	// The time at which the caller stops waiting.
	long callerTimeoutAt() {
		return this.openedAt + this.request.callerTimeoutMillis();
	}

	// The deadline of the final answer.
	long dueAt() {
		return Math.min(callerTimeoutAt(), this.openedAt + this.request.route().timeoutMillis());
	}

	Set<String> tried() {
		return this.tried;
	}

	// The parts of the prompt that other requests may share.
	PromptPartDigests prompt() {
		return this.prompt;
	}

	// The candidate filter for the next attempt.
	CandidateFilter filter() {
		return filterWithout(this.tried);
	}

	CandidateFilter filterWithout(Set<String> excluded) {
		return new CandidateFilter(this.request.service(), this.request.regions(), excluded);
	}

	// The attempt whose answer the caller receives.
	Optional<Attempt> attempt() {
		return this.attempt;
	}

	// The attempt that continues the generation from its first event on.
	Optional<Attempt> successor() {
		return this.successor;
	}

	Optional<Attempt> find(int number) {
		return Stream.concat(this.attempt.stream(), this.successor.stream())
			.filter((a) -> a.number() == number)
			.findFirst();
	}

	// Whether a move or a resumption uses a copy.
	boolean usesCopy(String handle) {
		return this.move.filter((m) -> m.handle().equals(handle)).isPresent()
				|| Stream.concat(this.attempt.stream(), this.successor.stream()).anyMatch((a) -> a.usesCopy(handle));
	}

	boolean isSuccessor(Attempt candidate) {
		return this.successor.filter((a) -> a == candidate).isPresent();
	}

	Attempt begin(ListedTarget target, Optional<ResumePoint> resume, Optional<ListedTarget> backup, long now) {
		this.attempts++;
		this.lastTarget = target.id();
		if (resume.isEmpty()) {
			this.startedAt = now;
		}
		return new Attempt(this.attempts, target, resume, backup, now);
	}

	void setAttempt(Attempt current) {
		this.attempt = Optional.of(current);
	}

	void setSuccessor(Attempt next) {
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

	// The target of the most recent attempt; empty text before the first one.
	String lastTarget() {
		return this.lastTarget;
	}

	int attempts() {
		return this.attempts;
	}

	// When the generation was last started from its prompt.
	long startedAt() {
		return this.startedAt;
	}

	// The facts that decide its place in the queue for engine memory.
	QueuedGeneration place(Supplier<QueuedGeneration> description) {
		if (this.place.isEmpty()) {
			this.place = Optional.of(description.get());
		}
		return this.place.get();
	}

	// Records how many generations go first when the call is queued.
	void waitBehind(int count, long now) {
		this.queuedBehind = OptionalInt.of(count);
		this.queuedAt = now;
	}

	// Returns the wait in the queue that ends now, for the audit log; empty if there is
	// none.
	String endWait(long now) {
		OptionalInt behind = this.queuedBehind;
		this.queuedBehind = OptionalInt.empty();
		return behind.isPresent()
				? ", queued for " + (now - this.queuedAt) + " ms behind " + behind.getAsInt() + " others" : "";
	}

	// How many times the request was written to a target.
	int timesSent() {
		return this.timesSent;
	}

	void recordArrival() {
		this.timesSent++;
		this.verdict = Verdict.MAY_HAVE_RUN;
	}

	// How many targets may have executed the request.
	int possibleRuns() {
		return this.possibleRuns;
	}

	void recordPossibleRun() {
		this.possibleRuns++;
	}

	void recordNotRun() {
		if (this.possibleRuns == 0) {
			this.verdict = Verdict.NOT_RUN;
		}
	}

	Verdict verdict() {
		return this.verdict;
	}

	// Whether its generation has executed for so long that it is not suspected to crash
	// targets.
	boolean isHarmless() {
		return this.harmless;
	}

	void markHarmless() {
		this.harmless = true;
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

	// How many events the caller has received.
	long eventCount() {
		return this.eventCount;
	}

	// Whether a damaged event was received after the last event.
	boolean lacksEvent() {
		return this.lacksEvent;
	}

	void recordDamagedEvent() {
		this.lacksEvent = true;
	}

	String lastEventText() {
		return (this.lastEvent != NO_EVENT) ? Long.toString(this.lastEvent) : "";
	}

	long lastEventAt() {
		return this.lastEventAt;
	}

	// When a target began to answer the prompt; a resumed generation does not read it
	// anew.
	OptionalLong beganAt() {
		return (this.lastEvent != NO_EVENT) ? OptionalLong.of(this.firstEventAt) : OptionalLong.empty();
	}

	// The time to the first event, in milliseconds.
	long firstEventMillis() {
		return this.firstEventAt - this.openedAt;
	}

	// The longest interval between two events, in milliseconds.
	long longestPauseMillis() {
		return this.longestPauseMillis;
	}

	// The event that followed the longest interval.
	long eventAfterLongestPause() {
		return this.eventAfterLongestPause;
	}

	void recordEvent(long event, long now) {
		if (this.lastEvent == NO_EVENT) {
			this.firstEventAt = now;
		}
		if (this.lastEvent != NO_EVENT && now - this.lastEventAt > this.longestPauseMillis) {
			this.longestPauseMillis = now - this.lastEventAt;
			this.eventAfterLongestPause = event;
		}
		this.lastEvent = event;
		this.eventCount++;
		this.lacksEvent = false;
		this.lastEventAt = now;
	}

	// The standby copy for the case that the engine drains or crashes.
	Optional<StandbyCopy> standby() {
		return this.standby;
	}

	void standby(Optional<StandbyCopy> kept) {
		this.standby = kept;
	}

	// The engines that hold the KV cache of the stopped execution and were not asked to
	// resume it.
	List<ListedTarget> holders() {
		return this.holders;
	}

	void setHolders(List<ListedTarget> engines) {
		this.holders = List.copyOf(engines);
	}

	Optional<GenerationMove> move() {
		return this.move;
	}

	void startMove(GenerationMove started) {
		this.move = Optional.of(started);
	}

	void endMove() {
		this.move = Optional.empty();
	}

	// Creates an audit event about this call; the target is empty text if there is none.
	AuditEvent event(AuditKind kind, String target, String cause) {
		return new AuditEvent(kind, this.request.id(), this.request.account(), target, cause);
	}

}
