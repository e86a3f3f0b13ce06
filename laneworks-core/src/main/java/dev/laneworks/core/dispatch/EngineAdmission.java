package dev.laneworks.core.dispatch;

import java.util.OptionalLong;

/**
 * Admission control that rejects generations which no engine would start in time.
 * <p>
 * When the memory of all engines is overcommitted, a dispatched generation queues at its
 * engine. It can then no longer be sent elsewhere, is lost if the engine drains, and
 * starts even if its caller has disconnected. The wait is estimated from the engine's
 * memory utilization and the mean lifetime of a generation. Not thread-safe.
 */
final class EngineAdmission {

	/** Initial estimate of the lifetime of a long generation. */
	private static final double INITIAL_LIFETIME_MILLIS = 9_000;

	/** Initial estimate of the lifetime of a short generation. */
	private static final double INITIAL_SHORT_LIFETIME_MILLIS = 1_500;

	/** Weight of the newest generation in the moving average. */
	private static final double NEWEST_SAMPLE_WEIGHT = 0.05;

	/**
	 * Maximum wait of a highest-priority generation, in multiples of its latency goal.
	 * One that waits longer would be late even if it were sent, and so would all behind
	 * it.
	 */
	private static final double MAX_WAIT_GOALS = 1;

	/** Maximum wait at lower priorities, in multiples of the latency goal. */
	private static final double MAX_WAIT_GOALS_LOWER_PRIORITY = 0.6;

	/** Maximum wait as a fraction of the time left to the caller. */
	private static final double MAX_WAIT_TIME_SHARE = 0.6;

	private double lifetimeMillis = INITIAL_LIFETIME_MILLIS;

	private double shortLifetimeMillis = INITIAL_SHORT_LIFETIME_MILLIS;

	/**
	 * Record the time from the opening to the end of a generation.
	 * @param size the size of the generation
	 * @param millis the time in milliseconds
	 */
	void recordLifetime(GenerationSize size, long millis) {
		if (size.isShort()) {
			this.shortLifetimeMillis += NEWEST_SAMPLE_WEIGHT * (millis - this.shortLifetimeMillis);
		}
		else {
			this.lifetimeMillis += NEWEST_SAMPLE_WEIGHT * (millis - this.lifetimeMillis);
		}
	}

	/**
	 * Estimate how long it takes until generations that end release the memory that
	 * another one needs.
	 * @param size the size of the generation
	 * @param memoryTokens the memory released within the lifetime of a long generation,
	 * in tokens
	 * @return the time in milliseconds
	 */
	double memoryReleaseMillis(GenerationSize size, double memoryTokens) {
		double lifetime = size.isShort() ? this.shortLifetimeMillis : this.lifetimeMillis;
		return size.reservedTokens(0) * lifetime / memoryTokens;
	}

	/**
	 * Estimate the wait of a generation that should be rejected.
	 * @param utilization the memory utilization of the best engine including the
	 * generation
	 * @param priority the priority of the generation, 0 being the highest
	 * @param goalMillis the latency goal of the first event in milliseconds
	 * @param leftMillis the time left to the caller in milliseconds
	 * @return the time until memory is expected to be free in milliseconds, or empty if
	 * the generation should be admitted
	 */
	OptionalLong waitMillis(double utilization, int priority, long goalMillis, long leftMillis) {
		double wait = (utilization - 1) * this.lifetimeMillis;
		double bound = Math.min(((priority == 0) ? MAX_WAIT_GOALS : MAX_WAIT_GOALS_LOWER_PRIORITY) * goalMillis,
				MAX_WAIT_TIME_SHARE * leftMillis);
		return (wait > bound) ? OptionalLong.of(Math.round(wait)) : OptionalLong.empty();
	}

}
