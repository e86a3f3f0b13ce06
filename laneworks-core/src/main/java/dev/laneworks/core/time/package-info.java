/**
 * Timers, adaptive timeouts, and detection of pauses and suspensions.
 */
package dev.laneworks.core.time;
