package dev.laneworks.runtime.audit;

import dev.laneworks.core.audit.AuditEvent;

/**
 * Audit event with its position in the trail and its time.
 *
 * @param number the sequence number of the event within this process, from 1
 * @param atMillis the time of recording, in milliseconds since 1970
 * @param event the recorded event
 * @since 0.1
 */
public record AuditRecord(long number, long atMillis, AuditEvent event) {

}
