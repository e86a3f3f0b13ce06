package dev.laneworks.core.budget;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Number of entries that a budget is divided among.
 * <p>
 * An entry that falls silent may only be cut off and still spend its part, so it counts
 * for some time after it was last known. Not thread-safe.
 *
 * @since 0.6
 */
public final class EntryCount {

	/** The time for which a silent entry counts, in milliseconds. */
	public static final long RETENTION_MILLIS = 60_000;

	private final Map<String, Long> lastKnownAt = new HashMap<>();

	/**
	 * Count the entries.
	 * @param others the addresses of the other entries that are known now
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the count, including this entry
	 */
	public int update(Collection<String> others, long now) {
		others.forEach((a) -> this.lastKnownAt.put(a, now));
		this.lastKnownAt.values().removeIf((t) -> now - t > RETENTION_MILLIS);
		return this.lastKnownAt.size() + 1;
	}

}
