package dev.laneworks.core.dispatch;

/**
 * Detects a target that is unreachable because it refuses connections.
 * <p>
 * Refusals are summed over all entries. An unreachable target receives neither work nor
 * copies for a backoff period. It is then tried again, and another refusal doubles the
 * period. An established connection or a new list entry resets the detector.
 */
final class UnreachableDetector {

	/**
	 * Refusals from which a target is unreachable. Tolerates a single one from a full
	 * accept queue or a restart.
	 */
	private static final int MIN_REFUSALS = 2;

	/** Time after which a single refusal no longer counts. */
	private static final long SINGLE_REFUSAL_MILLIS = 10_000;

	private static final long INITIAL_BACKOFF_MILLIS = 3_000;

	private static final long MAX_BACKOFF_MILLIS = 12_000;

	private long countedRefusals;

	private long singleRefusalSince = Long.MAX_VALUE;

	private long backoffMillis;

	private long backoffUntil;

	/**
	 * Update the detector with the current number of refused connections.
	 * @param total the number of refused connections of all entries
	 * @param spread the random factor of the backoff period, about 1, so that entries do
	 * not all try the target at once
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if a backoff period begins
	 */
	boolean observe(long total, double spread, long now) {
		// The count drops when an entry that contributed to it leaves.
		this.countedRefusals = Math.min(this.countedRefusals, total);
		long newRefusals = total - this.countedRefusals;
		if (newRefusals == 0) {
			this.singleRefusalSince = Long.MAX_VALUE;
			return false;
		}
		if (isUnreachable(now)) {
			this.countedRefusals = total;
			return false;
		}
		boolean startsBackoff = this.backoffMillis > 0 || newRefusals >= MIN_REFUSALS;
		if (startsBackoff) {
			this.countedRefusals = total;
			this.backoffMillis = (this.backoffMillis > 0) ? Math.min(MAX_BACKOFF_MILLIS, 2 * this.backoffMillis)
					: INITIAL_BACKOFF_MILLIS;
			this.backoffUntil = now + Math.round(this.backoffMillis * spread);
			return true;
		}
		expireSingleRefusal(total, now);
		return false;
	}

	private void expireSingleRefusal(long total, long now) {
		this.singleRefusalSince = Math.min(this.singleRefusalSince, now);
		if (now - this.singleRefusalSince > SINGLE_REFUSAL_MILLIS) {
			this.countedRefusals = total;
			this.singleRefusalSince = Long.MAX_VALUE;
		}
	}

	/**
	 * Reset the detector after the target was reached or listed anew.
	 * @param total the number of refused connections of all entries so far
	 */
	void reset(long total) {
		this.countedRefusals = total;
		this.backoffMillis = 0;
		this.backoffUntil = 0;
	}

	/**
	 * Determine whether the target is within a backoff period.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if the target should receive neither work nor copies
	 */
	boolean isUnreachable(long now) {
		return this.backoffMillis > 0 && now < this.backoffUntil;
	}

}
