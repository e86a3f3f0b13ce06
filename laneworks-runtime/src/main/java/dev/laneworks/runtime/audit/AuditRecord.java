package dev.laneworks.runtime.audit;

import dev.laneworks.core.audit.AuditEvent;

/**
 * An audit event with its place in the trail.
 *
 * @param number counts the events of this process, from 1
 * @param atMillis when it was recorded, in milliseconds since 1970
 * @param event the event
 * @since 0.1
 */
public record AuditRecord(long number, long atMillis, AuditEvent event) {

}
