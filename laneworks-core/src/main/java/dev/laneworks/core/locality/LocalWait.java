package dev.laneworks.core.locality;

/**
 * Expected wait in the data centre of this entry for requests with the same goal, and
 * whether it makes them leave. Not thread-safe.
 */
final class LocalWait {

	/** Part of the goal above which the wait makes requests leave. */
	private static final double LEAVE_PART = 1.0 / 3;

	/** Part of the goal below which requests stay again. */
	private static final double RETURN_PART = 1.0 / 6;

	/** Part of the goal at which all requests leave. */
	private static final double LEAVE_ALL_PART = 2.0 / 3;

	/**
	 * Time constant of the moving average, longer than the reading of one prompt. Without
	 * it, the direction changed a third more often under swinging demand.
	 */
	private static final double SMOOTHING_MILLIS = 500;

	private final long goalMillis;

	private double waitMillis;

	private long updatedAt;

	private boolean leaving;

	LocalWait(long goalMillis) {
		this.goalMillis = goalMillis;
		this.updatedAt = Long.MIN_VALUE / 2;
	}

	void update(double latestMillis, long now) {
		double weight = 1 - Math.exp(-Math.max(0, now - this.updatedAt) / SMOOTHING_MILLIS);
		this.waitMillis += weight * (latestMillis - this.waitMillis);
		this.updatedAt = now;
	}

	double millis() {
		return this.waitMillis;
	}

	/**
	 * Determine anew whether requests leave the data centre.
	 * @param hasAlternative whether another data centre would serve them sooner
	 * @return {@code true} if that changed
	 */
	boolean changesDirection(boolean hasAlternative) {
		boolean wasLeaving = this.leaving;
		double part = this.waitMillis / this.goalMillis;
		this.leaving = wasLeaving ? part >= RETURN_PART : part > LEAVE_PART && hasAlternative;
		return this.leaving != wasLeaving;
	}

	// The part of the requests that leave, from 0 to 1.
	double partToLeave() {
		double part = (this.waitMillis / this.goalMillis - RETURN_PART) / (LEAVE_ALL_PART - RETURN_PART);
		return this.leaving ? Math.max(0, Math.min(1, part)) : 0;
	}

}
