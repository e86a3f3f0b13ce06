package dev.laneworks.core.dispatch;

import dev.laneworks.core.mechanism.Mechanisms;

/**
 * Timeouts and limits of a {@link Dispatcher}.
 *
 * @param connectMillis the shortest connect timeout in milliseconds before another target
 * is tried; longer if connections usually need more time
 * @param maxAttempts the most targets that one request is sent to
 * @param maxConnections the most targets that connections are attempted to for one
 * request; larger than {@code maxAttempts} because a stale directory may list replaced
 * targets
 * @param answerSlackMillis the time in milliseconds after the deadline during which an
 * answer of the target is still awaited
 * @param retryAfterMillis the default retry delay of refused callers in milliseconds
 * @param noResponseGoals the number of response-time goals without an answer after which
 * a target counts as unresponsive
 * @param retryTimeDivisor the divisor of the response-time goal that yields the remaining
 * time needed for a retry
 * @param mechanisms the enabled optional mechanisms
 * @since 0.2
 */
public record DispatchSettings(long connectMillis, int maxAttempts, int maxConnections, long answerSlackMillis,
		long retryAfterMillis, double noResponseGoals, int retryTimeDivisor, Mechanisms mechanisms) {

	/**
	 * Create the default settings.
	 * @param mechanisms the enabled optional mechanisms
	 * @return settings that differ only in their mechanisms
	 */
	public static DispatchSettings defaults(Mechanisms mechanisms) {
		return new DispatchSettings(250, 4, 12, 40, 400, 2.5, 4, mechanisms);
	}

}
