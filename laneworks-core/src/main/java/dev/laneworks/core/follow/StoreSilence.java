package dev.laneworks.core.follow;

/**
 * Finds out that a store has fallen silent, though a watch may say nothing for seconds.
 */
final class StoreSilence {

	/**
	 * After how long without a word of the store it is asked for a sign of life, in
	 * milliseconds. A watch says nothing for up to four seconds, in which notices are
	 * given and missed.
	 */
	private static final long PROBE_MILLIS = 300;

	/**
	 * After how long without a word the store counts as silent, in milliseconds: the time
	 * after which it is asked, and that of a slow answer.
	 */
	private static final long SILENT_MILLIS = 560;

	private long heardAt;

	private long longest;

	private long probedAt = Long.MIN_VALUE / 2;

	// The store, or another process that follows it, was heard.
	void heard(long now) {
		this.longest = Math.max(this.longest, millis(now));
		this.heardAt = Math.max(this.heardAt, now);
	}

	/**
	 * Return whether the store is to be asked for a sign of life now; if so it counts as
	 * asked.
	 * @param now the time in milliseconds
	 * @return whether it has said nothing for a while, and wasn't asked lately
	 */
	boolean askNow(long now) {
		boolean isQuiet = now - Math.max(this.heardAt, this.probedAt) >= PROBE_MILLIS;
		if (isQuiet) {
			this.probedAt = now;
		}
		return isQuiet;
	}

	boolean isSilent(long now) {
		return millis(now) > SILENT_MILLIS;
	}

	/**
	 * Take that the store answered this process itself.
	 * @param now the time in milliseconds
	 * @return how long nothing was heard at the longest since the answer before, in
	 * milliseconds
	 */
	long answered(long now) {
		heard(now);
		return takeLongest(now);
	}

	/**
	 * Return how long nothing was heard at the longest since this was asked last.
	 * @param now the time in milliseconds
	 * @return milliseconds
	 */
	long takeLongest(long now) {
		long silent = Math.max(this.longest, millis(now));
		this.longest = 0;
		return silent;
	}

	private long millis(long now) {
		return now - this.heardAt;
	}

}
