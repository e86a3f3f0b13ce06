package dev.laneworks.core.waiting;

/**
 * Orders that the settings offer.
 *
 * @since 0.4
 */
public enum WaitingOrder implements QueueOrder {

	/** Starts the generation first that must start soonest. */
	LEAST_SLACK {

		@Override
		public double rank(QueuedGeneration generation, Slack slack) {
			return slack.millis();
		}

	},

	/**
	 * Starts the generation first that is expected to use the least memory for the
	 * shortest time. The expected use counts less the more slack is used up, so that
	 * large generations start too.
	 */
	SHORTEST_FIRST {

		@Override
		public double rank(QueuedGeneration generation, Slack slack) {
			if (slack.leftShare() < NEARLY_USED_UP) {
				return slack.leftShare() - 1;
			}
			double memoryTime = generation.memoryTokens() * (READING_TOKENS + generation.expectedTokens());
			return memoryTime * slack.leftShare();
		}

	};

	/** Part of the slack below which a generation goes before all others. */
	private static final double NEARLY_USED_UP = 0.1;

	/**
	 * Time in which an engine reads a prompt, in tokens that it generates meanwhile:
	 * 3,000 prompt tokens at 14 per millisecond, 9 ms per generated token.
	 */
	private static final double READING_TOKENS = 25;

}
