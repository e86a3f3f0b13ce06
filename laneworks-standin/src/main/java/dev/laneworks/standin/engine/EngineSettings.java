package dev.laneworks.standin.engine;

/**
 * Settings of a stand-in engine.
 *
 * @param capacityTokens the memory size in tokens
 * @param maxBatch the maximum number of generations in a step
 * @param stepMicros the fixed duration of a step, in microseconds
 * @param stepMicrosPerSequence the time that each generation adds to a step, in
 * microseconds
 * @param prefillMicrosPerToken the time that each prompt token adds to a step, in
 * microseconds
 * @param prefillTokensPerStep the maximum number of prompt tokens processed in a step
 * @param prefixCacheTokens the capacity of the prefix cache in tokens
 * @param medianLength the median length in tokens of outputs whose request sets none
 * @param lengthSigma the standard deviation of the logarithm of those lengths
 * @param reportLagMillis the interval between load reports, which is also their minimum
 * age, in milliseconds
 * @param eventLagMillis the delay of cache events, in milliseconds
 * @param eventLossRate the fraction of cache events that are lost, from 0 to 1
 * @param numberedTokens whether a token's text is its generation's name and its offset
 * instead of a word, so that tests can identify it
 * @param seed the random seed for output lengths and lost cache events
 * @since 0.1
 */
public record EngineSettings(long capacityTokens, int maxBatch, long stepMicros, long stepMicrosPerSequence,
		long prefillMicrosPerToken, int prefillTokensPerStep, long prefixCacheTokens, int medianLength,
		double lengthSigma, long reportLagMillis, long eventLagMillis, double eventLossRate, boolean numberedTokens,
		long seed) {

	/**
	 * Return the settings of a medium-sized engine.
	 * @return the default settings
	 */
	public static EngineSettings defaults() {
		return new EngineSettings(200_000, 128, 15_000, 80, 20, 2_048, 40_000, 120, 0.9, 500, 300, 0.05, false, 1);
	}

}
