package dev.laneworks.core.follow;

/**
 * Detects that a store has become silent, although a watch may legitimately stay without
 * an answer for seconds.
 */
final class SilenceDetector {

	/**
	 * How long after the last contact or probe the store is probed, in milliseconds.
	 */
	private static final long PROBE_INTERVAL_MILLIS = 300;

	/**
	 * How long after the last contact the store counts as silent, in milliseconds: the
	 * probe interval and the time of a slow answer.
	 */
	private static final long SILENCE_TIMEOUT_MILLIS = 560;

	private long lastContactAt;

	private long longestMillis;

	/** The time since the last contact in which this process was late itself. */
	private long latenessMillis;

	private long lateUntil = Long.MIN_VALUE;

	private long probedAt = Long.MIN_VALUE / 2;

	void recordContact(long now) {
		this.longestMillis = Math.max(this.longestMillis, silentMillis(now) - this.latenessMillis);
		this.lastContactAt = Math.max(this.lastContactAt, now);
		this.latenessMillis = 0;
	}

	/**
	 * Forget the silence before the first contact, which says nothing about the store.
	 * @param now the time of the first contact in milliseconds
	 */
	void recordFirstContact(long now) {
		this.lastContactAt = now;
		this.longestMillis = 0;
		this.latenessMillis = 0;
	}

	/**
	 * Record that this process was late, which does not count as silence of the store.
	 * @param since when it should have acted, in milliseconds
	 * @param now the current time in milliseconds
	 * @return the part of that time that was not recorded before, in milliseconds
	 */
	long recordLateness(long since, long now) {
		long from = Math.max(since, this.lateUntil);
		this.latenessMillis += Math.max(0, now - Math.max(from, this.lastContactAt));
		this.lateUntil = now;
		return Math.max(0, now - from);
	}

	// The longest silence between two contacts since the last reset.
	long longestMillis() {
		return this.longestMillis;
	}

	// The time since the last contact in which this process was late itself.
	long latenessMillis() {
		return this.latenessMillis;
	}

	/**
	 * Determine whether a probe of the store is due; if so, record that it is sent now.
	 * @param now the current time in milliseconds
	 * @return {@code true} if neither a contact nor a probe was recent
	 */
	boolean startProbeIfDue(long now) {
		boolean isDue = now - Math.max(this.lastContactAt, this.probedAt) >= PROBE_INTERVAL_MILLIS;
		if (isDue) {
			this.probedAt = now;
		}
		return isDue;
	}

	boolean isSilent(long now) {
		return silentMillis(now) > SILENCE_TIMEOUT_MILLIS;
	}

	/**
	 * Record an answer of the store to this process itself.
	 * @param now the current time in milliseconds
	 * @return the longest silence since the previous answer, in milliseconds
	 */
	long recordAnswer(long now) {
		recordContact(now);
		return resetLongest(now);
	}

	/**
	 * Return the longest silence since the last reset, and reset it.
	 * @param now the current time in milliseconds
	 * @return the silence in milliseconds
	 */
	long resetLongest(long now) {
		long silence = Math.max(this.longestMillis, silentMillis(now) - this.latenessMillis);
		this.longestMillis = 0;
		return silence;
	}

	long silentMillis(long now) {
		return now - this.lastContactAt;
	}

}
