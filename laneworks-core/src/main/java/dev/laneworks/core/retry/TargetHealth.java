package dev.laneworks.core.retry;

/**
 * Sets a target aside after failures in a row and tries it again gently.
 * <p>
 * While set aside the target gets no work. When the time is over one request is let
 * through as a trial; its success takes the target back, its failure sets it aside for
 * longer. Not thread-safe.
 *
 * @since 0.1
 */
public final class TargetHealth {

	private static final int FAILURES_TO_SET_ASIDE = 3;

	private static final long FIRST_ASIDE_MILLIS = 1_000;

	private static final long MAX_ASIDE_MILLIS = 30_000;

	private int failuresInRow;

	private long asideMillis;

	private long asideUntil;

	private boolean trialUnderWay;

	/**
	 * Return whether a request may go to the target.
	 * @param now the time in milliseconds
	 * @return {@code false} while it is set aside or on trial
	 */
	public boolean isUsable(long now) {
		return this.asideMillis == 0 || (now >= this.asideUntil && !this.trialUnderWay);
	}

	/**
	 * Record that a request was sent to the target.
	 */
	public void recordSent() {
		if (this.asideMillis != 0) {
			this.trialUnderWay = true;
		}
	}

	/**
	 * Record that the target answered, be it with a refusal.
	 * @return whether the target had been set aside
	 */
	public boolean recordSuccess() {
		boolean wasAside = this.asideMillis != 0;
		this.failuresInRow = 0;
		this.asideMillis = 0;
		this.trialUnderWay = false;
		return wasAside;
	}

	/**
	 * Record that the target failed: no answer, a lost link or a lost generation.
	 * @param now the time in milliseconds
	 * @return whether the target is newly set aside
	 */
	public boolean recordFailure(long now) {
		this.failuresInRow++;
		if (this.failuresInRow < FAILURES_TO_SET_ASIDE && this.asideMillis == 0) {
			return false;
		}
		this.trialUnderWay = false;
		this.asideMillis = (this.asideMillis != 0) ? Math.min(MAX_ASIDE_MILLIS, this.asideMillis * 2)
				: FIRST_ASIDE_MILLIS;
		this.asideUntil = now + this.asideMillis;
		return true;
	}

	/**
	 * Return the failures since the last success.
	 * @return the count
	 */
	public int failuresInRow() {
		return this.failuresInRow;
	}

}
