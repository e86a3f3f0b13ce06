package dev.laneworks.core.waiting;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimate of how long ago a caller that was refused and returned sent its request for
 * the first time.
 * <p>
 * A returned caller has a smaller timeout than is usual on its route. The largest timeout
 * is forgotten after at most two windows, so that a change of the callers is learned. Not
 * thread-safe.
 */
final class CallerAges {

	private static final long WINDOW_MILLIS = 30_000;

	/**
	 * Difference that still counts as the usual timeout. Covers the time for which a
	 * request is in transit; retry times are longer.
	 */
	private static final long TOLERANCE_MILLIS = 200;

	private final Map<String, Largest> largestByRoute = new HashMap<>();

	/**
	 * Estimate the time of the first arrival of a request that arrives now.
	 * @param route the name of the route
	 * @param timeoutMillis the time after which the caller gives up, in milliseconds
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the time in milliseconds of the monotonic clock, at most {@code now}
	 */
	long firstArrivalAt(String route, long timeoutMillis, long now) {
		Largest largest = this.largestByRoute.computeIfAbsent(route, (r) -> new Largest(now));
		long age = largest.recordAndGet(timeoutMillis, now) - timeoutMillis;
		return (age > TOLERANCE_MILLIS) ? now - age : now;
	}

	private static final class Largest {

		private long windowStart;

		private long current;

		private long previous;

		private Largest(long now) {
			this.windowStart = now;
		}

		private long recordAndGet(long value, long now) {
			if (now - this.windowStart >= WINDOW_MILLIS) {
				this.previous = (now - this.windowStart >= 2 * WINDOW_MILLIS) ? 0 : this.current;
				this.current = 0;
				this.windowStart = now;
			}
			this.current = Math.max(this.current, value);
			return Math.max(this.current, this.previous);
		}

	}

}
