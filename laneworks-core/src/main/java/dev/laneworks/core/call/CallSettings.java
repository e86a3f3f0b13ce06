package dev.laneworks.core.call;

/**
 * Limits and timeouts of a {@link CallCoordinator}. All times are in milliseconds.
 *
 * @param connectMillis the timeout of a connection, after which another target is tried
 * @param dispatchMillis the timeout of a sidecar's first answer, after which the attempt
 * is revoked
 * @param revokeMillis the timeout of a revocation, including the recovery of the link
 * @param reattachMillis the timeout of a reattachment to a generation
 * @param maxAttempts the maximum number of attempts for one request, at least 1
 * @param window the maximum number of output chunks in flight to a caller, at least 1
 * @since 0.1
 */
public record CallSettings(long connectMillis, long dispatchMillis, long revokeMillis, long reattachMillis,
		int maxAttempts, int window) {

	public CallSettings {
		if (maxAttempts < 1 || window < 1) {
			throw new IllegalArgumentException(
					"maxAttempts and window must be at least 1 but are " + maxAttempts + ", " + window);
		}
	}

	/**
	 * Return the default settings, which suit links within a region.
	 * @return settings with the default limits and timeouts
	 */
	public static CallSettings defaults() {
		return new CallSettings(1_000, 1_000, 2_000, 5_000, 3, 64);
	}

}
