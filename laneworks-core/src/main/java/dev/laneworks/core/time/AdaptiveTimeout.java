package dev.laneworks.core.time;

/**
 * Adaptive timeout, computed from observed durations as in RFC 6298.
 * <p>
 * The timeout is the smoothed duration plus four times its variation. Durations include
 * the delays of this process, so that a slow process does not consider a peer
 * unreachable. Not thread-safe.
 *
 * @since 0.2
 */
public final class AdaptiveTimeout {

	/** The weight of the latest duration in the smoothed one, from RFC 6298. */
	private static final double SMOOTHING_WEIGHT = 0.125;

	/** The weight of the latest deviation in the variation, from RFC 6298. */
	private static final double VARIATION_WEIGHT = 0.25;

	/** The number of variations added to the smoothed duration, from RFC 6298. */
	private static final double VARIATION_FACTOR = 4;

	private final long minMillis;

	private final long maxMillis;

	private double smoothed;

	private double variation;

	private boolean hasDuration;

	/**
	 * Create a timeout without any recorded duration.
	 * @param minMillis the shortest timeout, in milliseconds
	 * @param maxMillis the longest timeout, in milliseconds, which also applies before
	 * the first duration
	 */
	public AdaptiveTimeout(long minMillis, long maxMillis) {
		if (minMillis < 0 || maxMillis < minMillis) {
			throw new IllegalArgumentException("minMillis must not be negative and maxMillis must not be below it");
		}
		this.minMillis = minMillis;
		this.maxMillis = maxMillis;
	}

	/**
	 * Record a duration. One above the longest timeout counts as that.
	 * @param millis the duration in milliseconds
	 */
	public void recordDuration(long millis) {
		long duration = Math.min(millis, this.maxMillis);
		if (!this.hasDuration) {
			this.hasDuration = true;
			this.smoothed = duration;
			this.variation = duration / 2.0;
			return;
		}
		this.variation += VARIATION_WEIGHT * (Math.abs(duration - this.smoothed) - this.variation);
		this.smoothed += SMOOTHING_WEIGHT * (duration - this.smoothed);
	}

	/**
	 * Compute the current timeout.
	 * @return the timeout in milliseconds
	 */
	public long timeoutMillis() {
		if (!this.hasDuration) {
			return this.maxMillis;
		}
		long timeout = Math.round(this.smoothed + VARIATION_FACTOR * this.variation);
		return Math.max(this.minMillis, Math.min(this.maxMillis, timeout));
	}

}
