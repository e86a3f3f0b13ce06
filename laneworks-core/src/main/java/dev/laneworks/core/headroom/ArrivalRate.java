package dev.laneworks.core.headroom;

/**
 * Exponentially weighted mean rate of arrivals. Not thread-safe.
 */
final class ArrivalRate {

	/**
	 * Time after which an arrival has lost most of its weight. One of many entries
	 * receives less than one urgent generation per second; a shorter time would make the
	 * rate follow single arrivals.
	 */
	private static final double DECAY_MILLIS = 10_000;

	/** Shortest assumed observation, so that a first arrival is no infinite rate. */
	private static final double MIN_OBSERVED_MILLIS = 2_000;

	private double weight;

	private long startedAt;

	private long updatedAt;

	/**
	 * Record an arrival.
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void record(long now) {
		if (this.weight == 0) {
			this.startedAt = now;
		}
		this.weight = 1 + decayedWeight(now);
		this.updatedAt = now;
	}

	/**
	 * Return the mean rate.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the number of arrivals per millisecond
	 */
	double perMillisecond(long now) {
		double observed = Math.max(MIN_OBSERVED_MILLIS, now - this.startedAt);
		return decayedWeight(now) / (DECAY_MILLIS * (1 - Math.exp(-observed / DECAY_MILLIS)));
	}

	private double decayedWeight(long now) {
		return this.weight * Math.exp(-Math.max(0, now - this.updatedAt) / DECAY_MILLIS);
	}

}
