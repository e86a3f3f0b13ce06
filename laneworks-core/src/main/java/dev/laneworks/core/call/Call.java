package dev.laneworks.core.call;

import java.util.HashSet;
import java.util.Set;

import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.verdict.Verdict;

/**
 * State of one open call of an entry: its request, current phase, target and read
 * position.
 */
final class Call {

	static final long NO_TIMER = Long.MAX_VALUE;

	private final long number;

	private final CallRequest request;

	private final long firstOutputDeadline;

	private final Set<String> excludedTargets = new HashSet<>();

	private CallPhase phase = CallPhase.CONNECTING;

	private long timer = NO_TIMER;

	private String target = "";

	private String route = "";

	private long incarnation;

	private String generation = "";

	private String attemptName = "";

	private int epoch;

	private int attempts;

	private long nextOffset;

	private boolean outputSeen;

	private long readOffset;

	private long creditLimit;

	private Verdict worstVerdict = Verdict.NOT_RUN;

	private boolean countedInFlight;

	private boolean announced;

	private boolean answeredWhileRevoking;

	Call(long number, CallRequest request, long now) {
		this.number = number;
		this.request = request;
		this.firstOutputDeadline = now + request.work().callerTimeoutMillis();
	}

	long number() {
		return this.number;
	}

	CallRequest request() {
		return this.request;
	}

	SidecarRequest work() {
		return this.request.work();
	}

	long firstOutputDeadline() {
		return this.firstOutputDeadline;
	}

	Set<String> excludedTargets() {
		return this.excludedTargets;
	}

	CallPhase phase() {
		return this.phase;
	}

	void enter(CallPhase next, long timerAt) {
		this.phase = next;
		this.timer = timerAt;
	}

	long timer() {
		return this.timer;
	}

	String target() {
		return this.target;
	}

	void setTarget(String name, String reason) {
		this.target = name;
		this.route = reason;
	}

	String route() {
		return this.route;
	}

	long incarnation() {
		return this.incarnation;
	}

	String generation() {
		return this.generation;
	}

	String attemptName() {
		return this.attemptName;
	}

	StreamId stream() {
		return new StreamId(this.number, this.epoch);
	}

	StreamId startAttempt(long sidecarIncarnation) {
		this.attempts++;
		StreamId stream = nextStream();
		this.incarnation = sidecarIncarnation;
		this.generation = work().generationName(stream.attempt());
		this.attemptName = work().attemptName(stream.attempt());
		this.answeredWhileRevoking = false;
		return stream;
	}

	// Messages of earlier streams of this call are dropped from now on.
	StreamId nextStream() {
		this.epoch++;
		return stream();
	}

	void resumeGeneration(String generationName, long sidecarIncarnation, long offset) {
		this.generation = generationName;
		this.incarnation = sidecarIncarnation;
		this.nextOffset = offset;
		this.readOffset = offset;
		this.outputSeen = true;
		this.worstVerdict = Verdict.RAN;
	}

	int attempts() {
		return this.attempts;
	}

	long nextOffset() {
		return this.nextOffset;
	}

	void advance() {
		this.nextOffset++;
		this.outputSeen = true;
		this.worstVerdict = Verdict.RAN;
	}

	boolean hasOutputBeenSeen() {
		return this.outputSeen;
	}

	long creditLimit() {
		return this.creditLimit;
	}

	void setCreditLimit(long limit) {
		this.creditLimit = limit;
	}

	long readOffset() {
		return this.readOffset;
	}

	void recordRead(long offset) {
		this.readOffset = Math.max(this.readOffset, offset);
	}

	// Merges the verdict of an attempt into the worst verdict of all attempts.
	Verdict mergeVerdict(Verdict verdict) {
		if (verdict.compareTo(this.worstVerdict) > 0) {
			this.worstVerdict = verdict;
		}
		return this.worstVerdict;
	}

	boolean isCountedInFlight() {
		return this.countedInFlight;
	}

	void setCountedInFlight(boolean counted) {
		this.countedInFlight = counted;
	}

	// Returns whether this is the first announcement to the caller.
	boolean markAnnounced() {
		boolean first = !this.announced;
		this.announced = true;
		return first;
	}

	// The sidecar answered the request although its revocation was sent.
	void recordAnswerWhileRevoking() {
		this.answeredWhileRevoking = true;
	}

	boolean wasAnsweredWhileRevoking() {
		return this.answeredWhileRevoking;
	}

	boolean hasFixedTarget() {
		return work().idempotencyKey().isPresent();
	}

}
