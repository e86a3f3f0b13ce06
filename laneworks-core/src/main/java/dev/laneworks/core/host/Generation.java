package dev.laneworks.core.host;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.admission.LengthClass;
import dev.laneworks.core.admission.MemoryUser;
import dev.laneworks.core.admission.QueueEntry;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.OperationKind;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.stream.ChunkLog;
import dev.laneworks.core.verdict.Refusal;

/**
 * State of one generation at a sidecar, with its output.
 */
final class Generation implements MemoryUser, QueueEntry {

	private final String name;

	private final SidecarRequest work;

	private final LengthClass lengthClass;

	private final double weight;

	private final long queuedAt;

	private final ChunkLog log = new ChunkLog();

	private final Set<String> pendingHomes = new HashSet<>();

	private GenerationState state;

	private Reader reader;

	private long readerLostAt;

	private FinishReason finishReason;

	private Refusal refusal;

	private Refusal refusalIfUnknown;

	private long finishedAt;

	private long deadline;

	private long reattachUntil;

	private long reattachAt;

	private boolean startedAtTarget;

	private boolean delivered;

	Generation(String name, SidecarRequest request, double weight, GenerationState state, long now) {
		this.name = name;
		this.work = request;
		this.lengthClass = LengthClass.of(request);
		this.weight = weight;
		this.state = state;
		this.queuedAt = now;
		this.readerLostAt = now;
		this.deadline = now + request.callerTimeoutMillis();
	}

	// Create a generation that an earlier sidecar process started, of which only the
	// name is known.
	static Generation adopted(String name, long now) {
		SidecarRequest request = new SidecarRequest(name, OperationKind.COMPLETION, "", "", "", "", new byte[0], 0,
				false, Optional.empty(), 0, Integer.MAX_VALUE, 0);
		Generation generation = new Generation(name, request, 1, GenerationState.RUNNING, now);
		generation.startedAtTarget = true;
		return generation;
	}

	String name() {
		return this.name;
	}

	SidecarRequest work() {
		return this.work;
	}

	boolean isKeyed() {
		return this.work.idempotencyKey().isPresent();
	}

	GenerationState state() {
		return this.state;
	}

	void transitionTo(GenerationState next) {
		this.state = next;
		if (next == GenerationState.RUNNING) {
			this.startedAtTarget = true;
		}
	}

	boolean hasStarted() {
		return this.startedAtTarget;
	}

	boolean isDelivered() {
		return this.delivered;
	}

	void setDelivered() {
		this.delivered = true;
	}

	ChunkLog log() {
		return this.log;
	}

	Optional<Reader> reader() {
		return Optional.ofNullable(this.reader);
	}

	void setReader(Reader newReader) {
		this.reader = newReader;
	}

	void removeReader(long now) {
		this.reader = null;
		this.readerLostAt = now;
	}

	long readerLostAt() {
		return this.readerLostAt;
	}

	void end(FinishReason reason, long now) {
		this.state = GenerationState.ENDED;
		this.finishReason = reason;
		this.finishedAt = now;
	}

	void fail(Refusal finalAnswer, long now) {
		this.state = GenerationState.FAILED;
		this.refusal = finalAnswer;
		this.finishedAt = now;
	}

	FinishReason finishReason() {
		return this.finishReason;
	}

	Refusal refusal() {
		return this.refusal;
	}

	// Return the time since which the generation is finished and has no reader.
	long idleSince() {
		return Math.max(this.finishedAt, this.readerLostAt);
	}

	Refusal refusalIfUnknown() {
		return this.refusalIfUnknown;
	}

	void setRefusalIfUnknown(Refusal answer) {
		this.refusalIfUnknown = answer;
	}

	long deadline() {
		return this.deadline;
	}

	void setDeadline(long at) {
		this.deadline = at;
	}

	Set<String> pendingHomes() {
		return this.pendingHomes;
	}

	boolean isReattaching() {
		return this.reattachUntil != 0;
	}

	void startReattaching(long until, long at) {
		if (this.reattachUntil == 0) {
			this.reattachUntil = until;
		}
		this.reattachAt = at;
	}

	void stopReattaching() {
		this.reattachUntil = 0;
		this.reattachAt = 0;
	}

	long reattachUntil() {
		return this.reattachUntil;
	}

	// Return the time of the next reattach request, or 0 while an answer is pending.
	long reattachAt() {
		return this.reattachAt;
	}

	void recordReattachSent() {
		this.reattachAt = 0;
	}

	@Override
	public LengthClass lengthClass() {
		return this.lengthClass;
	}

	@Override
	public int promptTokens() {
		return this.work.promptTokens();
	}

	@Override
	public int outputTokens() {
		return this.log.size();
	}

	@Override
	public int maxTokens() {
		return this.work.maxTokens();
	}

	@Override
	public String account() {
		return this.work.account();
	}

	@Override
	public int priority() {
		return this.work.priority();
	}

	@Override
	public double weight() {
		return this.weight;
	}

	@Override
	public long queuedAt() {
		return this.queuedAt;
	}

	// Return the tokens that the generation occupies in the target's memory while it
	// runs.
	long occupiedTokens() {
		return (long) promptTokens() + outputTokens();
	}

}
