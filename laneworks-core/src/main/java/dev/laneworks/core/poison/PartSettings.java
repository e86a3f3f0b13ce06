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
 * @param firstQuarantineIfSoundMillis the same time for a part with an earlier success
 * @param maxQuarantineMillis the longest time to the next trial, in milliseconds
 * @param memoryMillis the time for which a success counts, and a crash that has caused no
 * quarantine, in milliseconds
 * @since 0.8
 */
public record PartSettings(int crashesToQuarantine, int crashesIfSound, long distinctMillis, long firstQuarantineMillis,
		long firstQuarantineIfSoundMillis, long maxQuarantineMillis, long memoryMillis) {

	/** The growth of the quarantine with each trial that crashes a target. */
	static final int TRIAL_BACKOFF = 4;

	public PartSettings {
		if (crashesToQuarantine < 1 || crashesIfSound < crashesToQuarantine || distinctMillis < 0
				|| firstQuarantineMillis < 1 || firstQuarantineIfSoundMillis < 1
				|| maxQuarantineMillis < firstQuarantineMillis || memoryMillis < 1) {
			throw new IllegalArgumentException("a threshold or a duration is out of bounds");
		}
	}

	/**
	 * Return the default settings.
	 * <p>
	 * A part that engines executed well shortly before gets more crashes and an early
	 * trial, since a quarantine also keeps away the successes that would clear it.
	 * @return the settings in use
	 */
	public static PartSettings defaults() {
		return new PartSettings(4, 6, 50, 60_000, 10_000, 3_600_000, 600_000);
	}

}
