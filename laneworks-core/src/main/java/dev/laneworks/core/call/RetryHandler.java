package dev.laneworks.core.call;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.retry.RetryBudget;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Retries or refuses a call after a failed attempt.
 */
final class RetryHandler {

	private final CallContext context;

	private final RetryBudget budget;

	private final Backoff backoff;

	private final FixedTargets fixedTargets;

	private final AttemptDispatcher dispatcher;

	private final CallTerminator terminator;

	RetryHandler(CallContext context, RetryBudget budget, Backoff backoff, FixedTargets fixedTargets,
			AttemptDispatcher dispatcher, CallTerminator terminator) {
		this.context = context;
		this.budget = budget;
		this.backoff = backoff;
		this.fixedTargets = fixedTargets;
		this.dispatcher = dispatcher;
		this.terminator = terminator;
	}

	/**
	 * Handle a failed attempt: retry immediately, retry after a delay, or refuse the
	 * call.
	 * @param call the call, in any phase
	 * @param refusal the reason for the failure
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleFailedAttempt(Call call, Refusal refusal, long now) {
		this.context.targets().markSettled(call);
		Verdict verdict = call.mergeVerdict(refusal.verdict());
		boolean exemptFromBudget = refusal.reason() == RefusalReason.LEAVING;
		if (!mayRetry(call, refusal, now) || (!exemptFromBudget && !this.budget.tryAcquire(now))) {
			this.terminator.refuse(call, refusal);
			return;
		}
		call.excludedTargets().add(call.target());
		this.context.counters().retried().increment();
		this.context.audit()
			.record(new AuditEvent(AuditKind.RETRIED, call.work().requestId(), call.work().account(), call.target(),
					verdict.label() + ": " + refusal.detail()));
		if (exemptFromBudget || call.attempts() < 2) {
			this.dispatcher.route(call, now);
			return;
		}
		call.enter(CallPhase.BACKING_OFF, now + this.backoff.delayMillis(call.attempts() - 1));
	}

	private boolean mayRetry(Call call, Refusal refusal, long now) {
		return refusal.verdict().allowsAnotherAttempt(call.work().repeatable(), call.hasOutputBeenSeen())
				&& isWorthRetrying(call, refusal) && call.attempts() < this.context.settings().maxAttempts()
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
