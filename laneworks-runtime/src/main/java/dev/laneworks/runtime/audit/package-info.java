/**
 * Keeps the audit trail within bounds and writes it to the log.
 */
package dev.laneworks.runtime.audit;
