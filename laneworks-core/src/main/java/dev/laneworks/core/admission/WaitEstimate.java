package dev.laneworks.core.admission;

/**
 * Estimates how long a newly queued request will wait, from how fast requests were
 * admitted lately.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class WaitEstimate {

	private static final double NEW_SHARE = 0.1;

	private double meanGapMillis;

	private long lastAdmittedAt;

	private boolean waitedSince;

	/**
	 * Record that a request was admitted.
	 * @param now the time in milliseconds
	 * @param othersWait whether more requests wait behind it
	 */
	public void recordAdmitted(long now, boolean othersWait) {
		if (this.waitedSince) {
			double gap = now - this.lastAdmittedAt;
			this.meanGapMillis = (this.meanGapMillis != 0) ? this.meanGapMillis + NEW_SHARE * (gap - this.meanGapMillis)
					: gap;
		}
		this.lastAdmittedAt = now;
		this.waitedSince = othersWait;
	}

	/**
	 * Estimate the wait of a request.
	 * @param ahead the number of requests ahead of it
	 * @param now the time in milliseconds
	 * @return the wait in milliseconds
	 */
	public long waitMillis(int ahead, long now) {
		double sinceLast = this.waitedSince ? now - this.lastAdmittedAt : 0;
		double gap = Math.max(this.meanGapMillis, sinceLast);
		return (long) Math.max(0, (ahead + 1) * gap - sinceLast);
	}

}
