package dev.laneworks.core.poison;

/**
 * Settings for the quarantine of poisoned requests.
 *
 * @param crashesToQuarantine the number of crashed incarnations of targets after which a
 * request is quarantined
 * @param clearAfterMillis the time for which a generation must send events to be cleared,
 * in milliseconds
 * @param quarantineMillis the time after the latest crash for which a request is
 * quarantined, in milliseconds
 * @since 0.4
 */
public record PoisonSettings(int crashesToQuarantine, long clearAfterMillis, long quarantineMillis) {

	public PoisonSettings {
		if (crashesToQuarantine < 1 || clearAfterMillis < 0 || quarantineMillis < 0) {
			throw new IllegalArgumentException(
					"crashesToQuarantine must be at least 1 and no duration may be negative");
		}
	}

	/**
	 * Return the default settings.
	 * <p>
	 * Targets also crash for other causes, so that a single crash does not prove that a
	 * request is poisoned. A poisoned request is expected to crash its engine early, so
	 * that a generation that sends events for longer is cleared. The quarantine leaves
	 * operators time to fix the client or the target.
	 * @return the settings in use
	 */
	public static PoisonSettings defaults() {
		return new PoisonSettings(3, 2_000, 600_000);
	}

}
