/**
 * Bounded audit trail that is also written to the log.
 */
package dev.laneworks.runtime.audit;
