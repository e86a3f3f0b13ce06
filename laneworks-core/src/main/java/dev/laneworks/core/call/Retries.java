package dev.laneworks.core.call;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.retry.RetryBudget;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Decides whether a call whose attempt failed goes on with another.
 */
final class Retries {

	private final CallParts parts;

	private final RetryBudget budget;

	private final Backoff backoff;

	private final FixedTargets fixedTargets;

	private final Attempts attempts;

	private final CallEnd end;

	Retries(CallParts parts, RetryBudget budget, Backoff backoff, FixedTargets fixedTargets, Attempts attempts,
			CallEnd end) {
		this.parts = parts;
		this.budget = budget;
		this.backoff = backoff;
		this.fixedTargets = fixedTargets;
		this.attempts = attempts;
		this.end = end;
	}

	/**
	 * Make another attempt, now or later, or refuse the call.
	 * @param call the call
	 * @param refusal why the attempt failed
	 * @param now the time in milliseconds
	 */
	void attemptFailed(Call call, Refusal refusal, long now) {
		this.parts.targets().settle(call);
		Verdict verdict = call.worsen(refusal.verdict());
		boolean free = refusal.reason() == RefusalReason.LEAVING;
		if (!mayTryAgain(call, refusal, now) || (!free && !this.budget.tryTake(now))) {
			this.end.refuse(call, refusal);
			return;
		}
		call.excluded().add(call.target());
		this.parts.counters().retried().increment();
		this.parts.audit()
			.record(new AuditEvent(AuditKind.RETRIED, call.work().requestId(), call.work().account(), call.target(),
					verdict.label() + ": " + refusal.detail()));
		if (free || call.attempts() < 2) {
			this.attempts.route(call, now);
			return;
		}
		call.enter(CallPhase.BACKING_OFF, now + this.backoff.delayMillis(call.attempts() - 1));
	}

	private boolean mayTryAgain(Call call, Refusal refusal, long now) {
		return refusal.verdict().allowsAnotherAttempt(call.work().repeatable(), call.hasOutputBeenSeen())
				&& isWorthRetrying(call, refusal) && call.attempts() < this.parts.settings().maxAttempts()
				&& now < call.firstOutputDeadline();
	}

	private boolean isWorthRetrying(Call call, Refusal refusal) {
		if (refusal.reason() == RefusalReason.BAD_REQUEST || refusal.reason() == RefusalReason.SUPERSEDED) {
			return false;
		}
		if (!call.hasFixedTarget()) {
			return true;
		}
		boolean homeMoved = this.fixedTargets.find(call)
			.filter((r) -> !r.target().name().equals(call.target()))
			.isPresent();
		return refusal.verdict() == Verdict.NOT_RUN && homeMoved;
	}

}
