/**
 * Snapshot transfer between processes, for a process that starts while the store is
 * unreachable.
 */
package dev.laneworks.core.handover;
