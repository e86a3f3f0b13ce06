package dev.laneworks.standin.engine;

/**
 * How a stand-in engine behaves.
 *
 * @param capacityTokens the tokens that its memory holds
 * @param maxBatch the most generations in one step
 * @param stepMicros the fixed time of a step, in microseconds
 * @param stepMicrosPerSequence the time that each generation adds to a step, in
 * microseconds
 * @param prefillMicrosPerToken the time that each prompt token adds to a step, in
 * microseconds
 * @param prefillTokensPerStep the most prompt tokens in one step
 * @param prefixCacheTokens the tokens of prompt prefixes that it keeps
 * @param medianLength the median length of an output whose request does not say
 * @param lengthSigma the spread of lengths, as the standard deviation of their logarithm
 * @param reportLagMillis how old its load reports are
 * @param eventLagMillis how late its cache events come
 * @param eventLossShare the share of cache events that never come, from 0 to 1
 * @param numbers whether tokens name their generation and offset, for checks, instead of
 * words
 * @param seed makes lengths and losses repeatable
 * @since 0.1
 */
public record EngineSettings(long capacityTokens, int maxBatch, long stepMicros, long stepMicrosPerSequence,
		long prefillMicrosPerToken, int prefillTokensPerStep, long prefixCacheTokens, int medianLength,
		double lengthSigma, long reportLagMillis, long eventLagMillis, double eventLossShare, boolean numbers,
		long seed) {

	/**
	 * Return the settings of an engine of middling size.
	 * @return the settings
	 */
	public static EngineSettings defaults() {
		return new EngineSettings(200_000, 128, 15_000, 80, 20, 2_048, 40_000, 120, 0.9, 500, 300, 0.05, false, 1);
	}

}
