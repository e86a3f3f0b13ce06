package dev.laneworks.core.dispatch;

/**
 * Learns how long connections take to come up here, and so when one is overdue.
 * <p>
 * The estimate is that of RFC 6298 for retransmissions: a smoothed time and four times
 * its variation. It includes the delays of this process itself: one that has just started
 * takes up to 0.7 s to look at its connections again, and targets that are given up
 * meanwhile cost it the time in which it could have served them.
 */
final class ConnectTimes {

	/** The limit until a connection has come up; the first one of RFC 6298. */
	private static final long FIRST_MILLIS = 1_000;

	/** The weight of the newest time in the smoothed one, from RFC 6298. */
	private static final double TIME_WEIGHT = 0.125;

	/** The weight of the newest deviation in the variation, from RFC 6298. */
	private static final double VARIATION_WEIGHT = 0.25;

	/** How many variations a connection may take longer, from RFC 6298. */
	private static final double VARIATIONS = 4;

	private final long leastMillis;

	private double smoothed;

	private double variation;

	private boolean known;

	/**
	 * Create times of which none is known.
	 * @param leastMillis the least limit, in milliseconds
	 */
	ConnectTimes(long leastMillis) {
		this.leastMillis = leastMillis;
	}

	/**
	 * Take that a connection came up.
	 * @param millis the time that it took, in milliseconds
	 */
	void cameUp(long millis) {
		if (!this.known) {
			this.known = true;
			this.smoothed = millis;
			this.variation = millis / 2.0;
			return;
		}
		this.variation += VARIATION_WEIGHT * (Math.abs(millis - this.smoothed) - this.variation);
		this.smoothed += TIME_WEIGHT * (millis - this.smoothed);
	}

	/**
	 * Return how long a connection may take before it is given up.
	 * @return milliseconds, never more than before any was known
	 */
	long limitMillis() {
		if (!this.known) {
			return Math.max(this.leastMillis, FIRST_MILLIS);
		}
		long usual = Math.round(this.smoothed + VARIATIONS * this.variation);
		return Math.max(this.leastMillis, Math.min(FIRST_MILLIS, usual));
	}

}
