package dev.laneworks.core.waiting;

import java.util.random.RandomGenerator;

/**
 * Random intervals at which an entry checks whether memory was released, so that all
 * entries together claim it about once.
 */
final class CheckPacing {

	/** Exceeds the interval of load updates between entries, 25 ms. */
	private static final double INTERVAL_MILLIS = 40;

	/** Interval while no other entry is known and its starts can't be seen. */
	private static final double SILENT_INTERVAL_MILLIS = 80;

	/** Bounds how late an entry with few waiting generations sees free memory. */
	private static final double MAX_INTERVAL_MILLIS = 400;

	/** Smallest random factor; the largest one is one more. */
	private static final double MIN_FACTOR = 0.5;

	private final RandomGenerator random;

	CheckPacing(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Return the delay of the next check.
	 * @param ownRequests the requests that wait at this entry, at least 1
	 * @param nearbyRequests the requests that wait at other entries of the data centre
	 * @param isSilent whether no other entry is known
	 * @return the delay in milliseconds, at least 1
	 */
	long nextDelayMillis(int ownRequests, int nearbyRequests, boolean isSilent) {
		double mean = isSilent ? SILENT_INTERVAL_MILLIS
				: Math.min(MAX_INTERVAL_MILLIS, INTERVAL_MILLIS * (1 + (double) nearbyRequests / ownRequests));
		return Math.max(1, Math.round(mean * (MIN_FACTOR + this.random.nextDouble())));
	}

}
