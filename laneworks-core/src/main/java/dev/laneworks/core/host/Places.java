package dev.laneworks.core.host;

import java.util.Optional;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Brings waiting requests to the target as places come free, and takes places back when
 * memory is nearly full.
 */
final class Places {

	private final HostParts host;

	private final KeyGuard keyGuard;

	private final Refuser refuser;

	Places(HostParts host, KeyGuard keyGuard, Refuser refuser) {
		this.host = host;
		this.keyGuard = keyGuard;
		this.refuser = refuser;
	}

	// Lets a request wait for a place; it may get one at once.
	void enqueue(Generation generation, long now) {
		generation.enter(GenerationState.QUEUED);
		generation.setDeadline(now + generation.work().patienceMillis());
		generation.reader()
			.ifPresent((r) -> this.host.outputs()
				.send(r.link(), new SidecarMessage.Accepted(r.stream(), generation.name(),
						this.host.admission().queuedCount())));
		this.host.admission().enqueue(generation);
		admit(now);
	}

	// Gives free places to those who wait.
	void admit(long now) {
		Optional<Generation> next = this.host.admission().next(now);
		while (next.isPresent()) {
			admit(next.get(), now);
			next = this.host.admission().next(now);
		}
	}

	// Sets generations aside while memory is nearly full.
	void yieldMemory() {
		Optional<Generation> victim = this.host.admission().victim();
		while (victim.isPresent()) {
			Generation generation = victim.get();
			this.host.counters().yields().increment();
			this.host.audit()
				.record(AuditKind.YIELDED, generation,
						"memory is nearly full with " + this.host.admission().usedTokens() + " tokens held");
			generation.enter(GenerationState.PAUSED);
			this.host.admission().requeue(generation);
			this.host.outputs().pause(generation.name());
			victim = this.host.admission().victim();
		}
	}

	private void admit(Generation generation, long now) {
		boolean hasStarted = generation.hasStarted();
		if (!hasStarted && !mayStillRun(generation, now)) {
			this.refuser.refuseBeforeRun(generation, HostRefusals.comeBack(RefusalReason.STALE_VIEW,
					"the home of the key changed or its view grew old while the request waited"), now);
			return;
		}
		this.host.audit()
			.record(AuditKind.ADMITTED, generation, "waited " + (now - generation.queuedAt()) + " ms, "
					+ this.host.admission().usedTokens() + " tokens held");
		generation.enter(GenerationState.RUNNING);
		if (hasStarted) {
			this.host.audit().record(AuditKind.RESUMED, generation, "memory is free again");
			this.host.outputs().resume(generation.name());
		}
		else {
			this.host.counters().admitted().increment();
			this.host.outputs().start(generation.name(), generation.work());
		}
	}

	private boolean mayStillRun(Generation generation, long now) {
		return generation.work()
			.onceKey()
			.map((k) -> this.keyGuard.mayStillRun(k, generation.work().model(), this.host.ledger(), now))
			.orElse(true);
	}

}
