/**
 * Single-threaded event loops with bounded queues, restarted by supervisors.
 */
package dev.laneworks.runtime.duty;
