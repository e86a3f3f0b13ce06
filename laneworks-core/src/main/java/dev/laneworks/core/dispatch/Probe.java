package dev.laneworks.core.dispatch;

/**
 * Attempt to connect to a target in order to find out whether it accepts connections.
 *
 * @param number increases with each probe of the process
 * @param startedAt the time at which it was ordered, in milliseconds of the monotonic
 * clock
 * @since 0.8
 */
public record Probe(long number, long startedAt) {

}
