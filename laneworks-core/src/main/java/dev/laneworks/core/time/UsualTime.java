package dev.laneworks.core.time;

/**
 * Learns how long something usually takes, and so when it is overdue.
 * <p>
 * The estimate is that of RFC 6298 for retransmissions: a smoothed time and four times
 * its variation. What is measured includes the delays of this process itself, which is
 * what tells a process that is slow from a peer that is gone. Not thread-safe.
 *
 * @since 0.2
 */
public final class UsualTime {

	/** The weight of the newest time in the smoothed one, from RFC 6298. */
	private static final double TIME_WEIGHT = 0.125;

	/** The weight of the newest deviation in the variation, from RFC 6298. */
	private static final double VARIATION_WEIGHT = 0.25;

	/** How many variations something may take longer, from RFC 6298. */
	private static final double VARIATIONS = 4;

	private final long leastMillis;

	private final long mostMillis;

	private double smoothed;

	private double variation;

	private boolean known;

	/**
	 * Create times of which none is known.
	 * @param leastMillis the least limit, in milliseconds
	 * @param mostMillis the greatest limit, which also holds until a time is known, in
	 * milliseconds
	 */
	public UsualTime(long leastMillis, long mostMillis) {
		if (leastMillis < 0 || mostMillis < leastMillis) {
			throw new IllegalArgumentException("limits must be positive, the least below the greatest");
		}
		this.leastMillis = leastMillis;
		this.mostMillis = mostMillis;
	}

	/**
	 * Take a time; one beyond the greatest limit counts as that.
	 * @param millis the time, in milliseconds
	 */
	public void took(long millis) {
		long counted = Math.min(millis, this.mostMillis);
		if (!this.known) {
			this.known = true;
			this.smoothed = counted;
			this.variation = counted / 2.0;
			return;
		}
		this.variation += VARIATION_WEIGHT * (Math.abs(counted - this.smoothed) - this.variation);
		this.smoothed += TIME_WEIGHT * (counted - this.smoothed);
	}

	/**
	 * Return how long it may take before it is overdue.
	 * @return milliseconds
	 */
	public long limitMillis() {
		if (!this.known) {
			return this.mostMillis;
		}
		long usual = Math.round(this.smoothed + VARIATIONS * this.variation);
		return Math.max(this.leastMillis, Math.min(this.mostMillis, usual));
	}

}
