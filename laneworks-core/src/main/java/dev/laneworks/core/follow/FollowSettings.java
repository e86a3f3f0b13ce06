package dev.laneworks.core.follow;

/**
 * The wait and timeout settings of a {@link StoreFollower}.
 *
 * @param waitMillis how long the store may hold a watch, in milliseconds; a broken
 * connection is detected at the end of this time at the latest
 * @param answerMillis how long the first part of an answer, and each further part, may
 * take in milliseconds; for a watch in addition to its wait
 * @param minIntervalMillis the shortest time between two watches in milliseconds, so that
 * a series of changes is fetched together
 * @since 0.2
 */
public record FollowSettings(long waitMillis, long answerMillis, long minIntervalMillis) {

	public FollowSettings {
		if (waitMillis <= 0 || answerMillis <= 0 || minIntervalMillis < 0) {
			throw new IllegalArgumentException(
					"waitMillis and answerMillis must be positive, gapMillis must not be negative");
		}
	}

}
