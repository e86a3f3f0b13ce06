package dev.laneworks.core.host;

import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.message.RevocationOutcome;
import dev.laneworks.core.once.KeyDecision;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Queues a keyed request only after it is certain that no earlier request with the key
 * ran.
 */
final class KeyedRequests {

	private final HostContext context;

	private final KeyGuard keyGuard;

	private final Refuser refuser;

	private final SlotAllocator slots;

	KeyedRequests(HostContext context, KeyGuard keyGuard, Refuser refuser, SlotAllocator slots) {
		this.context = context;
		this.keyGuard = keyGuard;
		this.refuser = refuser;
		this.slots = slots;
	}

	/**
	 * Queue a keyed request, refuse it, or first query former homes or the target about
	 * earlier requests with the key.
	 * @param generation the generation of the request, with a reader and not yet in the
	 * registry
	 * @param key the key of the request
	 * @param now the current time in milliseconds
	 */
	void decide(Generation generation, IdempotencyKey key, long now) {
		KeyDecision decision = this.keyGuard.decide(key, generation.work().model(), this.context.configurationHolder(),
				now);
		if (decision instanceof KeyDecision.Refuse refuse) {
			Reader reader = generation.reader().orElseThrow();
			this.context.delivery().detachReader(generation, now);
			this.refuser.refuse(reader.link(), reader.stream(), generation.work(), refuse.refusal());
			return;
		}
		this.context.registry().put(generation);
		if (decision instanceof KeyDecision.Run) {
			this.slots.enqueue(generation, now);
			return;
		}
		generation.transitionTo(GenerationState.ASKING);
		generation.setDeadline(now + this.context.settings().keyCheckTimeoutMillis());
		if (decision instanceof KeyDecision.AskTarget ask) {
			generation.setRefusalIfUnknown(ask.ifUnknown());
			this.context.outputs().lookUp(generation.name());
		}
		else if (decision instanceof KeyDecision.AskHomes ask) {
			generation.pendingHomes().addAll(ask.homes());
			ask.homes().forEach((h) -> this.context.outputs().requestKeyRevocation(h, key));
		}
	}

	// Handle the answer of a former home. The request is queued once all of them have
	// revoked the key.
	void handleHomeAnswer(Generation generation, String home, RevocationOutcome outcome, long now) {
		switch (outcome) {
			case BARRED -> {
				generation.pendingHomes().remove(home);
				if (generation.pendingHomes().isEmpty()) {
					this.slots.enqueue(generation, now);
				}
			}
			case HAS_RUN -> this.refuser.refuseBeforeExecution(generation,
					Refusal.ranInPart(RefusalReason.KEY_IN_DOUBT, "an earlier request with the key ran at " + home),
					now);
			case UNKNOWN ->
				refuseInDoubt(generation, home + " cannot determine whether an earlier request with the key ran", now);
		}
	}

	// Refuse a request if the former homes or the target did not answer in time.
	void refuseIfUnanswered(Generation generation, long now) {
		if (now >= generation.deadline()) {
			refuseInDoubt(generation, "no answer about earlier requests with the key in time", now);
		}
	}

	private void refuseInDoubt(Generation generation, String detail, long now) {
		this.refuser.refuseBeforeExecution(generation,
				HostRefusals.keyInDoubt(detail, this.context.registry().retentionMillis()), now);
	}

}
