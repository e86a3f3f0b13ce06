package dev.laneworks.core.call;

import java.time.Duration;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.Verdict;

/**
 * Ends calls: closes them, and tells their callers of refusals.
 */
final class CallEnd {

	private final CallParts parts;

	private final Backoff backoff;

	CallEnd(CallParts parts, Backoff backoff) {
		this.parts = parts;
		this.backoff = backoff;
	}

	void refuse(Call call, Refusal refusal) {
		Verdict verdict = call.worsen(refusal.verdict());
		this.parts.counters().refused().increment();
		this.parts.audit()
			.record(new AuditEvent(AuditKind.REFUSED, call.work().requestId(), call.work().account(), call.target(),
					verdict.label() + ", " + refusal.reason().label() + ": " + refusal.detail()));
		close(call);
		this.parts.outputs()
			.refuse(call.number(),
					new Refusal(verdict, refusal.reason(), refusal.detail(), refusal.retryAfter().map(this::spread)));
	}

	void close(Call call) {
		this.parts.targets().settle(call);
		this.parts.calls().remove(call);
	}

	// Callers that were refused together do not come back together, and none comes back
	// too early.
	private Duration spread(Duration retryAfter) {
		return retryAfter.plusMillis(this.backoff.spread(retryAfter.toMillis()) / 2);
	}

}
