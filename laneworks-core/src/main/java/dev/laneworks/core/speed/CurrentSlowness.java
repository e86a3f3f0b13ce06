package dev.laneworks.core.speed;

/**
 * Estimate of how much longer than usual work takes at one target at this moment.
 * <p>
 * The latest report counts fully while it is fresh; with age, the estimate decays to the
 * longer-term mean of the reports. Not thread-safe.
 */
final class CurrentSlowness {

	static final double MIN_FACTOR = 0.25;

	static final double MAX_FACTOR = 8;

	/**
	 * Time constant of the decay of a report. Slow phases last about 600 ms, so that the
	 * state of a target 300 ms ago predicts its current state in fewer than half of the
	 * cases.
	 */
	private static final double DECAY_MILLIS = 380;

	/** Time constant of the longer-term mean; covers several slow phases. */
	private static final double MEAN_MILLIS = 10_000;

	/**
	 * Longest time that one report stands for in the mean, about the length of a slow
	 * phase.
	 */
	private static final long MAX_SPAN_MILLIS = 600;

	/**
	 * Minimum weight of a report in the mean, so that reports in quick succession count.
	 */
	private static final double MIN_WEIGHT = 0.002;

	/** Age of the latest report from which a target counts as usual. */
	static final long MAX_AGE_MILLIS = 5_000;

	private double latest = 1;

	private double mean = 1;

	private long reportedAt = Long.MIN_VALUE / 2;

	/**
	 * Record a report unless a more recent one is known.
	 * @param slowness the reported factor; ignored unless it is a number
	 * @param reportedAt the time of the report in milliseconds of the monotonic clock
	 * @return {@code true} if the report is now the latest one
	 */
	boolean record(double slowness, long reportedAt) {
		if (Double.isNaN(slowness) || reportedAt < this.reportedAt) {
			return false;
		}
		double bounded = bound(slowness);
		long elapsed = reportedAt - this.reportedAt;
		if (elapsed > MAX_AGE_MILLIS) {
			this.mean = 1;
		}
		double weight = 1 - Math.exp(-Math.min(elapsed, MAX_SPAN_MILLIS) / MEAN_MILLIS);
		this.mean += Math.max(MIN_WEIGHT, weight) * (bounded - this.mean);
		this.latest = bounded;
		this.reportedAt = reportedAt;
		return true;
	}

	double factor(long now) {
		long age = ageMillis(now);
		if (age > MAX_AGE_MILLIS) {
			return 1;
		}
		return this.mean + (this.latest - this.mean) * Math.exp(-age / DECAY_MILLIS);
	}

	// The factor of the latest report, without regard to its age.
	double latest() {
		return this.latest;
	}

	// Very large if there is no report.
	long ageMillis(long now) {
		return Math.max(0, now - this.reportedAt);
	}

	static double bound(double factor) {
		return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor));
	}

}
