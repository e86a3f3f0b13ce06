package dev.laneworks.core.host;

import dev.laneworks.core.message.BarOutcome;
import dev.laneworks.core.message.OnceKey;
import dev.laneworks.core.once.KeyDecision;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Lets a keyed request run only once it is known that no earlier try ran.
 */
final class KeyedRequests {

	private final HostParts host;

	private final KeyGuard keyGuard;

	private final Refuser refuser;

	private final Places places;

	KeyedRequests(HostParts host, KeyGuard keyGuard, Refuser refuser, Places places) {
		this.host = host;
		this.keyGuard = keyGuard;
		this.refuser = refuser;
		this.places = places;
	}

	/**
	 * Take a keyed request on, refuse it, or ask others about earlier tries first.
	 * @param generation the request's generation, which has a reader and is not held yet
	 * @param key the request's key
	 * @param now the time in milliseconds
	 */
	void decide(Generation generation, OnceKey key, long now) {
		KeyDecision decision = this.keyGuard.decide(key, generation.work().model(), this.host.ledger(), now);
		if (decision instanceof KeyDecision.Refuse refuse) {
			Reader reader = generation.reader().orElseThrow();
			this.host.delivery().lose(generation, now);
			this.refuser.refuse(reader.link(), reader.stream(), generation.work(), refuse.refusal());
			return;
		}
		this.host.held().put(generation);
		if (decision instanceof KeyDecision.Run) {
			this.places.enqueue(generation, now);
			return;
		}
		generation.enter(GenerationState.ASKING);
		generation.setDeadline(now + this.host.settings().askMillis());
		if (decision instanceof KeyDecision.AskTarget ask) {
			generation.answerIfUnknown(ask.otherwise());
			this.host.outputs().lookUp(generation.name());
		}
		else if (decision instanceof KeyDecision.AskHomes ask) {
			generation.homesToAsk().addAll(ask.homes());
			ask.homes().forEach((h) -> this.host.outputs().askHome(h, key));
		}
	}

	// Takes a former home's answer; the request runs once all of them barred the key.
	void homeAnswered(Generation generation, String home, BarOutcome outcome, long now) {
		switch (outcome) {
			case BARRED -> {
				generation.homesToAsk().remove(home);
				if (generation.homesToAsk().isEmpty()) {
					this.places.enqueue(generation, now);
				}
			}
			case HAS_RUN -> this.refuser.refuseBeforeRun(generation,
					Refusal.ran(RefusalReason.KEY_IN_DOUBT, "an earlier try ran at " + home), now);
			case UNKNOWN -> refuseInDoubt(generation, home + " can't tell whether it ran", now);
		}
	}

	// Refuses a request about which the others did not answer in time.
	void refuseIfUnanswered(Generation generation, long now) {
		if (now >= generation.deadline()) {
			refuseInDoubt(generation, "no answer about earlier tries in time", now);
		}
	}

	private void refuseInDoubt(Generation generation, String detail, long now) {
		this.refuser.refuseBeforeRun(generation, HostRefusals.inDoubt(detail, this.host.held().memoryMillis()), now);
	}

}
