package dev.laneworks.core.poison;

import java.util.OptionalLong;

/**
 * Fixed-size record of the latest successes on prompt parts.
 * <p>
 * A part replaces an earlier one with the same slot.
 */
final class SuccessfulParts {

	/** The number of slots; a power of two. */
	private static final int SLOTS = 8_192;

	/** The keys of the slots; {@code null} marks an empty slot. */
	private final PartKey[] keys = new PartKey[SLOTS];

	private final long[] times = new long[SLOTS];

	void add(PartKey key, long at) {
		int slot = slot(key);
		boolean isOlder = key.equals(this.keys[slot]) && at < this.times[slot];
		if (!isOlder) {
			this.keys[slot] = key;
			this.times[slot] = at;
		}
	}

	// Returns the time of the latest known success.
	OptionalLong latest(PartKey key) {
		int slot = slot(key);
		return key.equals(this.keys[slot]) ? OptionalLong.of(this.times[slot]) : OptionalLong.empty();
	}

	private static int slot(PartKey key) {
		return (int) (key.part() ^ Long.rotateLeft(key.account(), 1)) & (SLOTS - 1);
	}

}
