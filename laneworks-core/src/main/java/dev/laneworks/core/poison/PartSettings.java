package dev.laneworks.core.poison;

/**
 * Settings for the quarantine of prompt parts.
 *
 * @param crashesToQuarantine the number of crashes with the part, and without a success
 * on it since, after which requests with the part are quarantined
 * @param crashesIfSound the same number for a part with an earlier success, which may be
 * in use during several unrelated crashes
 * @param distinctMillis the interval in milliseconds within which several crashes count
 * as one, since many targets may crash at once for a common cause
 * @param firstQuarantineMillis the time from the crash that causes the quarantine to the
 * first trial, in milliseconds; each trial that fails multiplies it by
 * {@value #TRIAL_BACKOFF}
 * @param firstQuarantineIfCommonMillis the same time for parts that most requests have;
 * each trial that fails multiplies it by {@value #TRIAL_BACKOFF_IF_COMMON}
 * @param maxQuarantineMillis the longest time to the next trial, in milliseconds
 * @param memoryMillis the time for which a success counts, and a crash that has caused no
 * quarantine, in milliseconds
 * @since 0.8
 */
public record PartSettings(int crashesToQuarantine, int crashesIfSound, long distinctMillis, long firstQuarantineMillis,
		long firstQuarantineIfCommonMillis, long maxQuarantineMillis, long memoryMillis) {

	/** The growth of the quarantine with each trial that crashes a target. */
	static final int TRIAL_BACKOFF = 4;

	/** The same growth for parts that most requests have. */
	static final int TRIAL_BACKOFF_IF_COMMON = 8;

	public PartSettings {
		if (crashesToQuarantine < 1 || crashesIfSound < crashesToQuarantine || distinctMillis < 0
				|| firstQuarantineMillis < 1 || firstQuarantineIfCommonMillis < 1
				|| maxQuarantineMillis < firstQuarantineMillis || memoryMillis < 1) {
			throw new IllegalArgumentException("a threshold or a duration is out of bounds");
		}
	}

	/**
	 * Return the default settings.
	 * <p>
	 * A quarantine also keeps away the successes that would clear a part. A part that
	 * most requests have is involved in most crashes, whatever their cause, and gets an
	 * early trial. Failed trials soon become rare, since each ends a target.
	 * @return the settings in use
	 */
	public static PartSettings defaults() {
		return new PartSettings(4, 6, 50, 60_000, 1_000, 3_600_000, 600_000);
	}

}
