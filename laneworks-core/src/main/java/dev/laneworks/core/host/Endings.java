package dev.laneworks.core.host;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Ends generations that their callers left, that waited too long or that were lost.
 */
final class Endings {

	private final HostParts host;

	private final Refuser refuser;

	private final Places places;

	Endings(HostParts host, Refuser refuser, Places places) {
		this.host = host;
		this.refuser = refuser;
		this.places = places;
	}

	/**
	 * Take that a generation's reader leaves.
	 * @param generation the generation
	 * @param mayReturn whether the caller may come back for the output
	 * @param now the time in milliseconds
	 */
	void release(Generation generation, boolean mayReturn, long now) {
		this.host.delivery().lose(generation, now);
		if (!mayReturn && !generation.isKeyed()) {
			cancel(generation, "its caller left", now);
		}
		else if (generation.state().isBeforeRun()) {
			cancel(generation, "its caller left before it ran", now);
		}
	}

	// Ends a generation whose output is lost.
	void fail(Generation generation, Refusal refusal, long now) {
		this.host.counters().refused().increment();
		this.host.audit().record(AuditKind.REFUSED, generation, refusal.detail());
		this.host.admission().remove(generation);
		generation.fail(refusal, now);
		if (!generation.isKeyed()) {
			this.host.outputs().cancel(generation.name());
		}
		this.host.delivery().pump(generation, now);
		this.places.admit(now);
	}

	// Ends a request that waited as long as its caller bears, or that nobody reads.
	void endOverdueQueued(Generation generation, long now) {
		if (now >= generation.deadline()) {
			this.refuser.refuseBeforeRun(generation,
					Refusal.notRun(RefusalReason.WAIT_TOO_LONG, "no place came free within the caller's patience",
							this.host.admission().retryAfter(generation.priority(), now)),
					now);
		}
		else if (isOrphaned(generation, now)) {
			cancel(generation, "its reader was lost before it ran", now);
		}
	}

	/**
	 * End a started generation that nobody reads and nobody can come back to by a key.
	 * @param generation the generation
	 * @param now the time in milliseconds
	 * @return whether it was ended
	 */
	boolean endOrphanedStarted(Generation generation, long now) {
		boolean isToEnd = !generation.isKeyed() && isOrphaned(generation, now);
		if (isToEnd) {
			cancel(generation, "its reader was lost and did not come back", now);
		}
		return isToEnd;
	}

	// Forgets a generation that is over once its output was held long enough.
	void forgetIfHeldLongEnough(Generation generation, long now) {
		if (generation.reader().isEmpty() && now - generation.idleSince() >= holdMillis(generation)) {
			this.host.held().remove(generation.name());
			this.host.held().spend(generation.name(), now);
		}
	}

	private void cancel(Generation generation, String cause, long now) {
		if (generation.state().isOver()) {
			return;
		}
		this.host.counters().cancelled().increment();
		this.host.audit().record(AuditKind.CANCELLED, generation, cause);
		boolean started = generation.hasStarted();
		this.refuser.drop(generation, now);
		if (started) {
			this.host.outputs().cancel(generation.name());
			this.host.held().spend(generation.name(), now);
		}
		this.places.admit(now);
	}

	private boolean isOrphaned(Generation generation, long now) {
		return generation.reader().isEmpty() && now - generation.readerLostAt() >= this.host.settings().orphanMillis();
	}

	private long holdMillis(Generation generation) {
		return generation.isKeyed() ? this.host.held().memoryMillis() : this.host.settings().holdMillis();
	}

}
