package dev.laneworks.core.speed;

/**
 * Expected delay of a generation at an engine.
 *
 * @since 0.4
 */
public final class EngineTime {

	/**
	 * Time in which an engine's whole memory is released, as observed with long streams.
	 */
	private static final double MEMORY_RELEASE_MILLIS = 9_000;

	private EngineTime() {
	}

	/**
	 * Return the expected delay compared with an idle engine of usual speed.
	 * @param pendingTokens the prompt tokens that the engine reads first
	 * @param promptTokens the prompt tokens of the generation
	 * @param factor the time that work takes there relative to the usual time
	 * @param millisPerPromptToken the usual time to read a prompt token, in milliseconds
	 * @param utilization the utilization of memory or slots, whichever is higher,
	 * including the generation
	 * @return the delay in milliseconds
	 */
	public static double waitMillis(long pendingTokens, long promptTokens, double factor, double millisPerPromptToken,
			double utilization) {
		double tokens = pendingTokens * factor + promptTokens * Math.max(0, factor - 1);
		return tokens * millisPerPromptToken + Math.max(0, utilization - 1) * MEMORY_RELEASE_MILLIS;
	}

}
