package dev.laneworks.core.audit;

/**
 * Takes audit events.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface AuditSink {

	/**
	 * Take an event.
	 * @param event the event
	 */
	void record(AuditEvent event);

}
