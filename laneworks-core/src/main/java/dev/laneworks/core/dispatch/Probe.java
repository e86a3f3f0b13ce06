package dev.laneworks.core.dispatch;

/**
 * Attempt to find out whether a target accepts connections, or which process answers
 * there.
 *
 * @param number increases with each probe of the process
 * @param startedAt the time at which it was ordered, in milliseconds of the monotonic
 * clock
 * @since 0.8
 */
public record Probe(long number, long startedAt) {

}
