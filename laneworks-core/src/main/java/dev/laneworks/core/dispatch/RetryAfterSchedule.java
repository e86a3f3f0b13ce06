package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes staggered retry-after times for rejected generations, in step with the memory
 * that running generations release.
 * <p>
 * Without staggering, callers rejected together during an overload would return together
 * and be rejected again. Each rejected caller advances the queue of its service and
 * priority by the time until the memory that it needs is released. Nothing is reserved: a
 * caller that returns is served in order of arrival. Not thread-safe.
 */
final class RetryAfterSchedule {

	/**
	 * Fraction of released memory assumed to be available to returning callers; new
	 * callers use the rest.
	 */
	private static final double RETURNING_CALLERS_SHARE = 0.25;

	/**
	 * Fraction of the time left to a caller up to which it honours a retry-after time, as
	 * defined by the platform's protocol. A later time does not advance the queue.
	 */
	private static final double HONOURED_TIME_SHARE = 1.0 / 3;

	/** Earliest retry-after time of the next caller, by queue. */
	private final Map<Queue, Double> nextByQueue = new HashMap<>();

	/**
	 * Return the retry-after time of a rejected caller and advance its queue.
	 * <p>
	 * Assumes that other entries reject as many callers as this one.
	 * @param service the service requested
	 * @param priority the priority of the generation, 0 being the highest
	 * @param waitMillis the expected time until memory is free, in milliseconds
	 * @param releaseMillis the time until this entry's share of released memory suffices
	 * for the generation, in milliseconds
	 * @param leftMillis the time left to the caller, in milliseconds
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the retry-after time in milliseconds, at least {@code waitMillis}
	 */
	long nextRetryAfterMillis(String service, int priority, long waitMillis, double releaseMillis, long leftMillis,
			long now) {
		Queue queue = new Queue(service, priority);
		double retryAt = Math.max(now + waitMillis, this.nextByQueue.getOrDefault(queue, 0.0));
		double honouredMillis = HONOURED_TIME_SHARE * leftMillis;
		if (retryAt - now > honouredMillis) {
			return Math.max(waitMillis, Math.round(honouredMillis));
		}
		this.nextByQueue.put(queue, retryAt + releaseMillis / RETURNING_CALLERS_SHARE);
		return Math.round(retryAt - now);
	}

	private record Queue(String service, int priority) {

	}

}
