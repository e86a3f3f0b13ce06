package dev.laneworks.core.call;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.routing.TargetState;
import dev.laneworks.core.routing.TargetStates;

/**
 * Records the outcomes of attempts per target and audits changes of a target's ejection.
 */
final class TargetOutcomes {

	private final TargetStates states;

	private final AuditSink audit;

	TargetOutcomes(TargetStates states, AuditSink audit) {
		this.states = states;
		this.audit = audit;
	}

	TargetState state(String target) {
		return this.states.state(target);
	}

	void markSent(Call call) {
		call.setCountedInFlight(true);
		state(call.target()).recordSent();
	}

	// Records that the call no longer has a request in flight at its target.
	void markSettled(Call call) {
		if (call.isCountedInFlight()) {
			call.setCountedInFlight(false);
			state(call.target()).recordCompleted();
		}
	}

	void reportFailure(String target, String cause, long now) {
		if (state(target).health().recordFailure(now)) {
			this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target, target, "ejected: " + cause));
		}
	}

	void reportSuccess(String target) {
		if (state(target).health().recordSuccess()) {
			this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target, target, "ejection ended"));
		}
	}

}
