package dev.laneworks.core.dispatch;

/**
 * Doubts a target at which connections are refused: no process listens there.
 * <p>
 * Refusals of all entries count, since each tells its own. A doubted target takes neither
 * work nor copies until a time is over; then it is tried, and a refusal of the trial
 * doubles the time. A connection that comes up, or a new entry in the list, ends the
 * doubt.
 */
final class RefusalDoubt {

	/**
	 * The refusals that begin a doubt: one may be a full listening queue or a process
	 * between its end and its next start.
	 */
	private static final int REFUSALS = 2;

	/** After how long a lone refusal counts no more, in milliseconds. */
	private static final long LONE_MILLIS = 10_000;

	/**
	 * The first doubt's time, in milliseconds. An engine that is gone and still listed is
	 * so for the time that the list is out of reach; a plain target that goes down and up
	 * by turns is back within a few seconds.
	 */
	private static final long FIRST_MILLIS = 3_000;

	/** The longest time of a doubt, in milliseconds. */
	private static final long MAX_MILLIS = 12_000;

	private long counted;

	private long loneSince = Long.MAX_VALUE;

	private long length;

	private long until;

	/**
	 * Take how many connections were refused at the target so far.
	 * @param total the refusals of all entries
	 * @param spread what the time of a new doubt is multiplied with, about 1 and unlike
	 * in each process, so that not all try the target at once
	 * @param now the time in milliseconds
	 * @return whether a doubt begins or begins anew
	 */
	boolean observe(long total, double spread, long now) {
		// An entry that is gone takes its count along.
		this.counted = Math.min(this.counted, total);
		long fresh = total - this.counted;
		if (fresh == 0) {
			this.loneSince = Long.MAX_VALUE;
			return false;
		}
		if (isDoubted(now)) {
			this.counted = total;
			return false;
		}
		boolean isEnough = this.length > 0 || fresh >= REFUSALS;
		if (isEnough) {
			this.counted = total;
			this.length = (this.length > 0) ? Math.min(MAX_MILLIS, 2 * this.length) : FIRST_MILLIS;
			this.until = now + Math.round(this.length * spread);
			return true;
		}
		forgetLone(total, now);
		return false;
	}

	private void forgetLone(long total, long now) {
		this.loneSince = Math.min(this.loneSince, now);
		if (now - this.loneSince > LONE_MILLIS) {
			this.counted = total;
			this.loneSince = Long.MAX_VALUE;
		}
	}

	/**
	 * Take that the target was reached or is listed anew.
	 * @param total the refusals of all entries up to then
	 */
	void end(long total) {
		this.counted = total;
		this.length = 0;
		this.until = 0;
	}

	/**
	 * Return whether the target takes neither work nor copies.
	 * @param now the time in milliseconds
	 * @return whether a doubt's time is not over
	 */
	boolean isDoubted(long now) {
		return this.length > 0 && now < this.until;
	}

}
