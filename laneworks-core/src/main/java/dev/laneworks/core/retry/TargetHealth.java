package dev.laneworks.core.retry;

/**
 * Outlier ejection of one target after consecutive failures.
 * <p>
 * An ejected target receives no requests. When the ejection period is over, a single
 * request is sent as a trial. Its success returns the target to service; its failure
 * starts a longer period. Not thread-safe.
 *
 * @since 0.1
 */
public final class TargetHealth {

	private static final int FAILURES_TO_EJECT = 3;

	private static final long FIRST_EJECTION_MILLIS = 1_000;

	private static final long MAX_EJECTION_MILLIS = 30_000;

	private int consecutiveFailures;

	private long ejectionMillis;

	private long ejectedUntil;

	private boolean trialInProgress;

	/**
	 * Determine whether a request may be sent to the target.
	 * @param now the current time in milliseconds
	 * @return {@code false} while the target is ejected or a trial is in progress
	 */
	public boolean isUsable(long now) {
		return this.ejectionMillis == 0 || (now >= this.ejectedUntil && !this.trialInProgress);
	}

	/** Record that a request was sent to the target. */
	public void recordSent() {
		if (this.ejectionMillis != 0) {
			this.trialInProgress = true;
		}
	}

	/**
	 * Record that the target responded, with a result or a rejection.
	 * @return {@code true} if the target was ejected before
	 */
	public boolean recordSuccess() {
		boolean wasEjected = this.ejectionMillis != 0;
		this.consecutiveFailures = 0;
		this.ejectionMillis = 0;
		this.trialInProgress = false;
		return wasEjected;
	}

	/**
	 * Record that the target failed: no response, a lost link or a lost generation.
	 * @param now the current time in milliseconds
	 * @return {@code true} if an ejection period starts
	 */
	public boolean recordFailure(long now) {
		this.consecutiveFailures++;
		if (this.consecutiveFailures < FAILURES_TO_EJECT && this.ejectionMillis == 0) {
			return false;
		}
		this.trialInProgress = false;
		this.ejectionMillis = (this.ejectionMillis != 0) ? Math.min(MAX_EJECTION_MILLIS, this.ejectionMillis * 2)
				: FIRST_EJECTION_MILLIS;
		this.ejectedUntil = now + this.ejectionMillis;
		return true;
	}

	/**
	 * Return the number of failures since the last success.
	 * @return the count
	 */
	public int consecutiveFailures() {
		return this.consecutiveFailures;
	}

}
