package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.directory.ListedTarget;

/**
 * One attempt to have a request executed by one target.
 */
final class Attempt {

	private final int number;

	private final ListedTarget target;

	private final Optional<ResumePoint> resume;

	private final EventSequence events;

	private Optional<ListedTarget> backup;

	private long reservedTokens;

	private long pendingPromptTokens;

	private long promptTokensAhead;

	private final long startedAt;

	private long sentAt = -1;

	private long firstEventAt = -1;

	private Optional<StopOrder> stopOrder = Optional.empty();

	Attempt(int number, ListedTarget target, Optional<ResumePoint> resume, Optional<ListedTarget> backup,
			long startedAt) {
		this.number = number;
		this.target = target;
		this.resume = resume;
		this.events = new EventSequence(resume.map(ResumePoint::lastEventNumber).orElse(OptionalLong.empty()));
		this.backup = backup;
		this.startedAt = startedAt;
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

	// The events that its target has sent.
	EventSequence events() {
		return this.events;
	}

	// The prompt tokens that its engine had yet to read when it was sent; negative if it
	// also waited for memory.
	long promptTokensAhead() {
		return this.promptTokensAhead;
	}

	void setPromptTokensAhead(long tokens) {
		this.promptTokensAhead = tokens;
	}

	// The time at which its connection was ordered.
	long startedAt() {
		return this.startedAt;
	}

	// The engine memory that is reserved for this attempt.
	long reservedTokens() {
		return this.reservedTokens;
	}

	void setReservedTokens(long tokens) {
		this.reservedTokens = tokens;
	}

	// The prompt tokens that the engine has not read yet.
	long pendingPromptTokens() {
		return this.pendingPromptTokens;
	}

	void setPendingPromptTokens(long tokens) {
		this.pendingPromptTokens = tokens;
	}

	// The target of the live copy, if there is one.
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

	void markSent(long now) {
		this.sentAt = now;
	}

	boolean isAnswering() {
		return this.firstEventAt >= 0;
	}

	// The time of its first event.
	long firstEventAt() {
		return this.firstEventAt;
	}

	void markAnswering(long now) {
		this.firstEventAt = now;
	}

	// Whether it resumes from a copy, or may have to.
	boolean usesCopy(String handle) {
		return this.resume.filter((r) -> r.handle().equals(handle)).isPresent()
				|| this.stopOrder.filter((s) -> s.handle().equals(handle)).isPresent();
	}

	// The latest order to stop its generation, if there is one.
	Optional<StopOrder> stopOrder() {
		return this.stopOrder;
	}

	// Whether an order may have stopped its generation.
	boolean mayBeStopped() {
		return this.stopOrder.filter((s) -> !s.isUnknownRun()).isPresent();
	}

	void recordStopOrder(ListedTarget destination, String handle, long now) {
		this.stopOrder = Optional.of(this.stopOrder.map((s) -> s.repeat(destination, handle, now))
			.orElseGet(() -> StopOrder.first(destination, handle, now)));
	}

	void recordStopResult(CopyResult result, long now) {
		this.stopOrder = this.stopOrder.flatMap((s) -> s.withResult(result, now));
	}

	// Describes the latest order to stop its generation, for the audit log.
	String describeStop(long now) {
		return this.stopOrder.map((s) -> ", ordered to stop " + (now - s.sentAt()) + " ms before").orElse("");
	}

}
