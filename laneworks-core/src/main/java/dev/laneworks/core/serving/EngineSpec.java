package dev.laneworks.core.serving;

/**
 * Capacity and capabilities of the engines of a service.
 *
 * @param slots the maximum number of concurrent requests of an engine, at least 1
 * @param memoryTokens the capacity of an engine's KV cache in tokens, at least 1
 * @param tokenBytes the size of one token in the KV cache, in bytes
 * @param linkMbps the bandwidth of an engine's link for copies, in megabits per second; 0
 * if unknown
 * @param tokensPerEvent the number of tokens in one event of a stream
 * @param supportsMoves whether a running generation can be copied on demand
 * @param supportsBackups whether a generation can be copied incrementally while it grows
 * @param maxReservationMillis the longest time that memory can be reserved, in
 * milliseconds; 0 if engines do not support reservations
 * @since 0.2
 */
public record EngineSpec(int slots, long memoryTokens, long tokenBytes, double linkMbps, int tokensPerEvent,
		boolean supportsMoves, boolean supportsBackups, long maxReservationMillis) {

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
	 * Calculate the duration of a copy on an idle link. Intended for embedders that plan
	 * copies in advance; moves use the durations of earlier copies instead.
	 * @param tokens the number of tokens to copy
	 * @return the duration in milliseconds, or 0 if the bandwidth is unknown
	 */
	public long estimateCopyMillis(long tokens) {
		if (this.linkMbps <= 0) {
			return 0;
		}
		return Math.round(tokens * this.tokenBytes * BITS_PER_BYTE / (this.linkMbps * BITS_PER_MEGABIT_MILLI));
	}

}
