package dev.laneworks.core.host;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.verdict.Refusal;

/**
 * Records the audit events of a host with the name of its target.
 */
final class HostAudit {

	private final String target;

	private final AuditSink sink;

	HostAudit(String target, AuditSink sink) {
		this.target = target;
		this.sink = sink;
	}

	// Record an event that concerns the target and no single generation.
	void record(AuditKind kind, String cause) {
		record(kind, this.target, cause);
	}

	void record(AuditKind kind, String subject, String cause) {
		this.sink.record(AuditEvent.of(kind, subject, this.target, cause));
	}

	void record(AuditKind kind, Generation generation, String cause) {
		this.sink.record(new AuditEvent(kind, generation.name(), generation.account(), this.target, cause));
	}

	void refused(SidecarRequest request, Refusal refusal) {
		this.sink.record(new AuditEvent(AuditKind.REFUSED, request.requestId(), request.account(), this.target,
				refusal.verdict().label() + ", " + refusal.reason().label() + ": " + refusal.detail()));
	}

}
