package dev.laneworks.core.serving;

/**
 * What the engines of a service can do.
 *
 * @param slots the requests that an engine runs at once
 * @param memoryTokens the tokens that an engine's memory holds
 * @param tokenBytes the bytes of memory for a token
 * @param linkMbps the rate of an engine's link for copies, in megabits a second
 * @param tokensPerEvent the tokens that one event of a stream holds
 * @param moves whether a running generation can be copied on demand
 * @param backups whether a generation can be copied as it grows
 * @param holdMillis the longest time that memory can be reserved for, in milliseconds; 0
 * where it can't
 * @since 0.2
 */
public record EngineSpec(int slots, long memoryTokens, long tokenBytes, double linkMbps, int tokensPerEvent,
		boolean moves, boolean backups, long holdMillis) {

	private static final double BITS_PER_BYTE = 8;

	private static final double BITS_PER_MEGABIT_MILLI = 1_000;

	public EngineSpec {
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be at least 1 but is " + slots);
		}
		if (memoryTokens < 1) {
			throw new IllegalArgumentException("memoryTokens must be at least 1 but is " + memoryTokens);
		}
	}

	/**
	 * Return how long a copy takes on an idle link, for embedders that plan copies ahead.
	 * Moves don't ask it: they judge a link by what the copies before took.
	 * @param tokens the tokens to copy
	 * @return milliseconds; 0 where the link's rate is not known
	 */
	public long copyMillis(long tokens) {
		if (this.linkMbps <= 0) {
			return 0;
		}
		return Math.round(tokens * this.tokenBytes * BITS_PER_BYTE / (this.linkMbps * BITS_PER_MEGABIT_MILLI));
	}

}
