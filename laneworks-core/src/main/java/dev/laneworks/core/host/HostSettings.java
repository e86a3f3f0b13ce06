package dev.laneworks.core.host;

/**
 * Limits and timeouts of a {@link GenerationHost}, with times in milliseconds.
 *
 * @param maxRunning the maximum number of requests at the target
 * @param maxQueued the maximum number of queued requests
 * @param capacityTokens the capacity of the target's memory in tokens, or 0 for no limit
 * @param highWaterMark the share of the memory above which a generation is preempted,
 * above 0 and at most 1
 * @param deviations the number of standard deviations of forecast memory kept free at
 * admission
 * @param ageingMillis the time in the queue that raises the priority by one
 * @param orphanTimeoutMillis how long a generation continues without a reader
 * @param outputRetentionMillis how long a finished output is held
 * @param reattachMillis how long output is requested again from a lost target
 * @param keyCheckTimeoutMillis the timeout for answers of former homes and the target
 * about a key
 * @param pauseMillis the gap between inputs from which on the process counts as paused
 * @param lengthHalfLife the number of outputs after which the weight of a learned length
 * has halved
 * @since 0.1
 */
public record HostSettings(int maxRunning, int maxQueued, long capacityTokens, double highWaterMark, double deviations,
		long ageingMillis, long orphanTimeoutMillis, long outputRetentionMillis, long reattachMillis,
		long keyCheckTimeoutMillis, long pauseMillis, int lengthHalfLife) {

	public HostSettings {
		if (maxRunning < 1 || maxQueued < 0 || capacityTokens < 0) {
			throw new IllegalArgumentException(
					"maxRunning must be at least 1, maxQueued and capacityTokens at least 0 but are " + maxRunning
							+ ", " + maxQueued + ", " + capacityTokens);
		}
		if (!(highWaterMark > 0 && highWaterMark <= 1)) {
			throw new IllegalArgumentException("highWater must be above 0 and at most 1 but is " + highWaterMark);
		}
	}

	/**
	 * Return the default settings for an engine with the given memory.
	 * @param capacityTokens the capacity of the target's memory in tokens, or 0 for no
	 * limit
	 * @return the default limits and timeouts
	 */
	public static HostSettings defaults(long capacityTokens) {
		return new HostSettings(256, 1024, capacityTokens, 0.97, 1.0, 300_000, 10_000, 10_000, 5_000, 1_000, 5_000,
				256);
	}

}
