package dev.laneworks.core.headroom;

/**
 * Engine memory that the most urgent generations of one service are expected to need,
 * learned from those that this entry received. Not thread-safe.
 */
final class UrgentDemand {

	/** Assumed size until generations arrive, in tokens. */
	static final double INITIAL_TOKENS = 3_000;

	/** Assumed time at the engine until generations end. */
	private static final double INITIAL_MILLIS = 500;

	/** Standard deviations of the number of generations that are reserved for. */
	private static final double DEVIATIONS = 2;

	private final ArrivalRate arrivals = new ArrivalRate();

	private final LearnedMean tokens = new LearnedMean(INITIAL_TOKENS);

	private final LearnedMean millis = new LearnedMean(INITIAL_MILLIS);

	void recordArrival(long generationTokens, long now) {
		this.arrivals.record(now);
		this.tokens.record(generationTokens);
	}

	void recordTimeAtEngine(long elapsedMillis) {
		this.millis.record(elapsedMillis);
	}

	/**
	 * Return the memory to keep free at each engine: the expected concurrent generations
	 * plus two standard deviations of a Poisson count, at least one generation.
	 * @param entries the number of entries, each of which is assumed to receive as many
	 * generations as this one
	 * @param engines the number of engines that share the generations
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the number of tokens
	 */
	double tokensPerEngine(int entries, int engines, long now) {
		double concurrent = this.arrivals.perMillisecond(now) * entries * this.millis.value() / Math.max(1, engines);
		return Math.max(1, concurrent + DEVIATIONS * Math.sqrt(concurrent)) * this.tokens.value();
	}

}
