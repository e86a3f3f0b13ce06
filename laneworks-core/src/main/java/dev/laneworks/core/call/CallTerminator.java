package dev.laneworks.core.call;

import java.time.Duration;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.Verdict;

/**
 * Ends calls: closes them and sends refusals to their callers.
 */
final class CallTerminator {

	private final CallContext context;

	private final Backoff backoff;

	CallTerminator(CallContext context, Backoff backoff) {
		this.context = context;
		this.backoff = backoff;
	}

	void refuse(Call call, Refusal refusal) {
		Verdict verdict = call.mergeVerdict(refusal.verdict());
		this.context.counters().refused().increment();
		this.context.audit()
			.record(new AuditEvent(AuditKind.REFUSED, call.work().requestId(), call.work().account(), call.target(),
					verdict.label() + ", " + refusal.reason().label() + ": " + refusal.detail()));
		close(call);
		this.context.outputs()
			.refuse(call.number(),
					new Refusal(verdict, refusal.reason(), refusal.detail(), refusal.retryAfter().map(this::spread)));
	}

	void close(Call call) {
		this.context.targets().markSettled(call);
		this.context.calls().remove(call);
	}

	// Adds jitter, never a reduction, so that refused callers do not all retry at the
	// same time.
	private Duration spread(Duration retryAfter) {
		return retryAfter.plusMillis(this.backoff.spread(retryAfter.toMillis()) / 2);
	}

}
