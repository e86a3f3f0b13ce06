package dev.laneworks.core.poison;

/**
 * By what requests are suspected and for how long they are kept from targets.
 *
 * @param endsToQuarantine under how many runs' ends a request is quarantined
 * @param clearedMillis for how long a generation must send events to be cleared, in
 * milliseconds
 * @param quarantineMillis for how long after the last end a request is quarantined, in
 * milliseconds
 * @since 0.4
 */
public record PoisonSettings(int endsToQuarantine, long clearedMillis, long quarantineMillis) {

	public PoisonSettings {
		if (endsToQuarantine < 1 || clearedMillis < 0 || quarantineMillis < 0) {
			throw new IllegalArgumentException("one end at least is needed, and no time may be below zero");
		}
	}

	/**
	 * Return the settings in use.
	 * <p>
	 * Three ends: targets end of other causes too, with all that they work on; three in a
	 * row under one request that never ran whole are no chance, and a fourth is not
	 * risked. Two seconds of events: a harmful request ends its engine as it begins, and
	 * a sound generation lasts longer. Ten minutes: long enough for people to see it and
	 * to mend the caller or the target.
	 * @return the settings
	 */
	public static PoisonSettings defaults() {
		return new PoisonSettings(3, 2_000, 600_000);
	}

}
