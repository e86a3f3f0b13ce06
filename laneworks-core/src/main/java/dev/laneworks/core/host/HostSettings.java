package dev.laneworks.core.host;

/**
 * The bounds and times of a {@link GenerationHost}; times in milliseconds.
 *
 * @param maxRunning the most requests at the target at a time
 * @param maxQueued the most requests that wait
 * @param capacityTokens the tokens that the target's memory holds, or 0 if it has none to
 * watch
 * @param highWater the share of the memory above which a generation must yield, from 0 to
 * 1
 * @param deviations the standard deviations of memory kept free at admission
 * @param ageingMillis the wait that is worth one priority
 * @param orphanMillis how long a generation goes on without a reader
 * @param holdMillis how long a finished output is held
 * @param reattachMillis how long a lost target is asked for a generation's output
 * @param askMillis how long former homes and the target may take to answer about a key
 * @param pauseMillis the gap between inputs that means that the process was paused
 * @param lengthHalfLife the number of outputs after which a learned length weighs half
 * @since 0.1
 */
public record HostSettings(int maxRunning, int maxQueued, long capacityTokens, double highWater, double deviations,
		long ageingMillis, long orphanMillis, long holdMillis, long reattachMillis, long askMillis, long pauseMillis,
		int lengthHalfLife) {

	public HostSettings {
		if (maxRunning < 1 || maxQueued < 0 || capacityTokens < 0) {
			throw new IllegalArgumentException(
					"maxRunning must be at least 1, maxQueued and capacityTokens at least 0 but are " + maxRunning
							+ ", " + maxQueued + ", " + capacityTokens);
		}
		if (!(highWater > 0 && highWater <= 1)) {
			throw new IllegalArgumentException("highWater must be above 0 and at most 1 but is " + highWater);
		}
	}

	/**
	 * Return settings that suit an engine with a memory of the given size.
	 * @param capacityTokens the tokens that the target's memory holds, or 0 if it has
	 * none to watch
	 * @return the settings
	 */
	public static HostSettings defaults(long capacityTokens) {
		return new HostSettings(256, 1024, capacityTokens, 0.97, 1.0, 300_000, 10_000, 10_000, 5_000, 1_000, 5_000,
				256);
	}

}
