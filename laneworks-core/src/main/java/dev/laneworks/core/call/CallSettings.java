package dev.laneworks.core.call;

/**
 * The bounds and times of a {@link CallCoordinator}; times in milliseconds.
 *
 * @param connectMillis how long a link may take to come up before another target is tried
 * @param dispatchMillis how long a sidecar may take to answer a request before it is
 * asked to bar it
 * @param barMillis how long an answer to that may take, link recovery included
 * @param reattachMillis how long a lost generation may take to be reached again
 * @param maxAttempts the most attempts for one request
 * @param window the pieces of output that may be under way to a caller
 * @since 0.1
 */
public record CallSettings(long connectMillis, long dispatchMillis, long barMillis, long reattachMillis,
		int maxAttempts, int window) {

	public CallSettings {
		if (maxAttempts < 1 || window < 1) {
			throw new IllegalArgumentException(
					"maxAttempts and window must be at least 1 but are " + maxAttempts + ", " + window);
		}
	}

	/**
	 * Return settings that suit links within a region.
	 * @return the settings
	 */
	public static CallSettings defaults() {
		return new CallSettings(1_000, 1_000, 2_000, 5_000, 3, 64);
	}

}
