package dev.laneworks.core.admission;

/**
 * Estimate of the time in the queue of a new request, from the recent rate of admissions.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class WaitEstimate {

	private static final double SMOOTHING_FACTOR = 0.1;

	private double meanGapMillis;

	private long lastAdmittedAt;

	private boolean queueOccupied;

	/**
	 * Record that a request was admitted.
	 * @param now the current time in milliseconds
	 * @param othersQueued {@code true} if more requests are queued behind it
	 */
	public void recordAdmitted(long now, boolean othersQueued) {
		if (this.queueOccupied) {
			double gap = now - this.lastAdmittedAt;
			this.meanGapMillis = (this.meanGapMillis != 0)
					? this.meanGapMillis + SMOOTHING_FACTOR * (gap - this.meanGapMillis) : gap;
		}
		this.lastAdmittedAt = now;
		this.queueOccupied = othersQueued;
	}

	/**
	 * Return the estimated wait of a new request.
	 * @param ahead the number of requests ahead of it
	 * @param now the current time in milliseconds
	 * @return the wait in milliseconds
	 */
	public long waitMillis(int ahead, long now) {
		double sinceLast = this.queueOccupied ? now - this.lastAdmittedAt : 0;
		double gap = Math.max(this.meanGapMillis, sinceLast);
		return (long) Math.max(0, (ahead + 1) * gap - sinceLast);
	}

}
