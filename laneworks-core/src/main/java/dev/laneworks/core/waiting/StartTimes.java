package dev.laneworks.core.waiting;

import java.util.HashMap;
import java.util.Map;

/**
 * Learned time from the start of a generation at an engine to its first event, and per
 * generated token. Not thread-safe.
 */
final class StartTimes {

	/** Initial estimate: a prompt of 3,000 tokens beside running generations. */
	private static final double INITIAL_FIRST_EVENT_MILLIS = 400;

	private static final double INITIAL_TOKENS = 700;

	private static final double INITIAL_STREAM_MILLIS = 7_000;

	/** Weight of the newest generation in the moving averages. */
	private static final double NEWEST_SAMPLE_WEIGHT = 0.05;

	private final Map<Integer, Double> firstEventMillis = new HashMap<>();

	private double meanTokens = INITIAL_TOKENS;

	private double meanStreamMillis = INITIAL_STREAM_MILLIS;

	void recordFirstEvent(int priority, long millis) {
		double mean = this.firstEventMillis.getOrDefault(priority, INITIAL_FIRST_EVENT_MILLIS);
		this.firstEventMillis.put(priority, mean + NEWEST_SAMPLE_WEIGHT * (millis - mean));
	}

	// Records the tokens that followed the first event. Short streams weigh little, since
	// their mean time per token is not that of long ones.
	void recordStream(long tokens, long millis) {
		this.meanTokens += NEWEST_SAMPLE_WEIGHT * (tokens - this.meanTokens);
		this.meanStreamMillis += NEWEST_SAMPLE_WEIGHT * (millis - this.meanStreamMillis);
	}

	// The typical time to the first event at a route priority, in milliseconds.
	long firstEventMillis(int priority) {
		return Math.round(this.firstEventMillis.getOrDefault(priority, INITIAL_FIRST_EVENT_MILLIS));
	}

	// The time from the start to the last event, in milliseconds.
	long completeMillis(QueuedGeneration generation) {
		double tokenMillis = this.meanStreamMillis / Math.max(1, this.meanTokens);
		return firstEventMillis(generation.routePriority()) + Math.round(tokenMillis * generation.expectedTokens());
	}

}
