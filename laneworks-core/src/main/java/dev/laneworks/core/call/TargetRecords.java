package dev.laneworks.core.call;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.routing.TargetBoard;
import dev.laneworks.core.routing.TargetState;

/**
 * Records how calls fare at targets, and when a target is set aside or taken back for it.
 */
final class TargetRecords {

	private final TargetBoard board;

	private final AuditSink audit;

	TargetRecords(TargetBoard board, AuditSink audit) {
		this.board = board;
		this.audit = audit;
	}

	TargetState state(String target) {
		return this.board.state(target);
	}

	void sent(Call call) {
		call.setCountedInFlight(true);
		state(call.target()).recordSent();
	}

	// Takes that a call has nothing under way at its target any more.
	void settle(Call call) {
		if (call.isCountedInFlight()) {
			call.setCountedInFlight(false);
			state(call.target()).recordDone();
		}
	}

	void failed(String target, String cause, long now) {
		if (state(target).health().recordFailure(now)) {
			this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target, target, "set aside: " + cause));
		}
	}

	void succeeded(String target) {
		if (state(target).health().recordSuccess()) {
			this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target, target, "taken back"));
		}
	}

}
