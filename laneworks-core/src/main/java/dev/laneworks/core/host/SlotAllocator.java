package dev.laneworks.core.host;

import java.util.Optional;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Starts queued requests at the target as slots become free, and preempts generations
 * when memory is nearly full.
 */
final class SlotAllocator {

	private final HostContext context;

	private final KeyGuard keyGuard;

	private final Refuser refuser;

	SlotAllocator(HostContext context, KeyGuard keyGuard, Refuser refuser) {
		this.context = context;
		this.keyGuard = keyGuard;
		this.refuser = refuser;
	}

	// Queue a request and admit it immediately if a slot is free.
	void enqueue(Generation generation, long now) {
		generation.transitionTo(GenerationState.QUEUED);
		generation.setDeadline(now + generation.work().callerTimeoutMillis());
		generation.reader()
			.ifPresent((r) -> this.context.outputs()
				.send(r.link(), new SidecarMessage.Accepted(r.stream(), generation.name(),
						this.context.admission().queuedCount())));
		this.context.admission().enqueue(generation);
		admit(now);
	}

	// Admit queued requests while slots are free.
	void admit(long now) {
		Optional<Generation> next = this.context.admission().pollAdmissible(now);
		while (next.isPresent()) {
			admit(next.get(), now);
			next = this.context.admission().pollAdmissible(now);
		}
	}

	// Preempt generations while memory is nearly full.
	void preemptForMemory() {
		Optional<Generation> victim = this.context.admission().findPreemptionVictim();
		while (victim.isPresent()) {
			Generation generation = victim.get();
			this.context.counters().preemptions().increment();
			this.context.audit()
				.record(AuditKind.YIELDED, generation,
						"memory is nearly full with " + this.context.admission().usedTokens() + " tokens held");
			generation.transitionTo(GenerationState.PAUSED);
			this.context.admission().requeue(generation);
			this.context.outputs().preempt(generation.name());
			victim = this.context.admission().findPreemptionVictim();
		}
	}

	private void admit(Generation generation, long now) {
		boolean hasStarted = generation.hasStarted();
		if (!hasStarted && !mayStillRun(generation, now)) {
			this.refuser.refuseBeforeExecution(generation, HostRefusals.retryHere(RefusalReason.STALE_VIEW,
					"the home of the key changed or the view of the targets became too old while the request waited"),
					now);
			return;
		}
		this.context.audit()
			.record(AuditKind.ADMITTED, generation, "waited " + (now - generation.queuedAt()) + " ms, "
					+ this.context.admission().usedTokens() + " tokens held");
		generation.transitionTo(GenerationState.RUNNING);
		if (hasStarted) {
			this.context.audit().record(AuditKind.RESUMED, generation, "memory is free again");
			this.context.outputs().resume(generation.name());
		}
		else {
			this.context.counters().admitted().increment();
			this.context.outputs().start(generation.name(), generation.work());
		}
	}

	private boolean mayStillRun(Generation generation, long now) {
		return generation.work()
			.idempotencyKey()
			.map((k) -> this.keyGuard.mayStillRun(k, generation.work().model(), this.context.configurationHolder(),
					now))
			.orElse(true);
	}

}
