package dev.laneworks.core.waiting;

/**
 * Estimate of how fast generations that end release engine memory. Not thread-safe.
 */
final class MemoryRelease {

	/** Initial estimate of a generation's time at its engine. */
	private static final double INITIAL_LIFETIME_MILLIS = 9_000;

	private static final double INITIAL_TOKENS = 3_000;

	/** Weight of the newest generation in the moving averages. */
	private static final double NEWEST_SAMPLE_WEIGHT = 0.05;

	private double meanTokens = INITIAL_TOKENS;

	private double meanTokenMillis = INITIAL_TOKENS * INITIAL_LIFETIME_MILLIS;

	/**
	 * Record a generation that ended.
	 * @param tokens the memory that it held, in tokens
	 * @param millis the time for which it held it, in milliseconds
	 */
	void record(long tokens, long millis) {
		this.meanTokens += NEWEST_SAMPLE_WEIGHT * (tokens - this.meanTokens);
		this.meanTokenMillis += NEWEST_SAMPLE_WEIGHT * ((double) tokens * millis - this.meanTokenMillis);
	}

	/**
	 * Estimate the time until memory is released.
	 * @param tokens the memory needed, in tokens
	 * @param usedTokens the memory in use of which parts are released, in tokens
	 * @return the time in milliseconds; unbounded if no memory is in use
	 */
	long millisUntilReleased(double tokens, double usedTokens) {
		return Math.round(Math.min(Long.MAX_VALUE / 2, tokens / tokensPerMilli(usedTokens)));
	}

	/**
	 * Estimate the rate at which memory is released.
	 * @param usedTokens the memory in use of which parts are released, in tokens
	 * @return the number of tokens per millisecond
	 */
	double tokensPerMilli(double usedTokens) {
		// Generations leave in proportion to their size and in inverse proportion to
		// their time, so the mean over memory is the ratio of the two averages.
		return usedTokens * this.meanTokens / this.meanTokenMillis;
	}

}
