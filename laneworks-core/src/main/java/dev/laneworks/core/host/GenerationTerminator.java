package dev.laneworks.core.host;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Ends generations whose callers disconnected, that timed out in the queue or whose
 * output was lost.
 */
final class GenerationTerminator {

	private final HostContext context;

	private final Refuser refuser;

	private final SlotAllocator slots;

	GenerationTerminator(HostContext context, Refuser refuser, SlotAllocator slots) {
		this.context = context;
		this.refuser = refuser;
		this.slots = slots;
	}

	/**
	 * Handle the release of a generation by its reader.
	 * @param generation the generation
	 * @param mayReturn {@code true} if the caller may reconnect for the output
	 * @param now the current time in milliseconds
	 */
	void release(Generation generation, boolean mayReturn, long now) {
		this.context.delivery().detachReader(generation, now);
		if (!mayReturn && !generation.isKeyed()) {
			cancel(generation, "the caller disconnected", now);
		}
		else if (generation.state().isBeforeExecution()) {
			cancel(generation, "the caller disconnected before the request ran", now);
		}
	}

	void fail(Generation generation, Refusal refusal, long now) {
		this.context.counters().refused().increment();
		this.context.audit().record(AuditKind.REFUSED, generation, refusal.detail());
		this.context.admission().remove(generation);
		generation.fail(refusal, now);
		if (!generation.isKeyed()) {
			this.context.outputs().cancel(generation.name());
		}
		this.context.delivery().sendAvailable(generation, now);
		this.slots.admit(now);
	}

	// End a queued request whose deadline passed or that has no reader.
	void endQueuedIfExpired(Generation generation, long now) {
		if (now >= generation.deadline()) {
			this.refuser.refuseBeforeExecution(generation,
					Refusal.notRun(RefusalReason.WAIT_TOO_LONG, "no slot became free within the caller's timeout",
							this.context.admission().retryAfter(generation.priority(), now)),
					now);
		}
		else if (isOrphaned(generation, now)) {
			cancel(generation, "the reader was lost before the request ran", now);
		}
	}

	/**
	 * End a started generation that has no reader and cannot be found again by a key.
	 * @param generation the generation
	 * @param now the current time in milliseconds
	 * @return {@code true} if it was ended
	 */
	boolean endStartedIfOrphaned(Generation generation, long now) {
		boolean orphaned = !generation.isKeyed() && isOrphaned(generation, now);
		if (orphaned) {
			cancel(generation, "the reader was lost and did not reconnect", now);
		}
		return orphaned;
	}

	// Discard a finished generation after the hold time of its output.
	void discardIfExpired(Generation generation, long now) {
		if (generation.reader().isEmpty() && now - generation.idleSince() >= holdMillis(generation)) {
			this.context.registry().remove(generation.name());
			this.context.registry().markDiscarded(generation.name(), now);
		}
	}

	private void cancel(Generation generation, String cause, long now) {
		if (generation.state().isFinished()) {
			return;
		}
		this.context.counters().cancelled().increment();
		this.context.audit().record(AuditKind.CANCELLED, generation, cause);
		boolean started = generation.hasStarted();
		this.refuser.drop(generation, now);
		if (started) {
			this.context.outputs().cancel(generation.name());
			this.context.registry().markDiscarded(generation.name(), now);
		}
		this.slots.admit(now);
	}

	private boolean isOrphaned(Generation generation, long now) {
		return generation.reader().isEmpty()
				&& now - generation.readerLostAt() >= this.context.settings().orphanTimeoutMillis();
	}

	private long holdMillis(Generation generation) {
		return generation.isKeyed() ? this.context.registry().retentionMillis()
				: this.context.settings().outputRetentionMillis();
	}

}
