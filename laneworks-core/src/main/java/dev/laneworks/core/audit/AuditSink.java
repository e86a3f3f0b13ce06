package dev.laneworks.core.audit;

/**
 * Receiver of audit events.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface AuditSink {

	/**
	 * Record an event.
	 * @param event the decision and its cause
	 */
	void record(AuditEvent event);

}
