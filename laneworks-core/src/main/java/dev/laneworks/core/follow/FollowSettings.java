package dev.laneworks.core.follow;

/**
 * The times by which a {@link StoreFollower} calls.
 *
 * @param waitMillis how long the store may hold a watch; each call has its price, and a
 * connection that has gone silent is found out at the end of this time
 * @param answerMillis how long any other answer may take until its first part arrives, a
 * watch's beyond its wait, and each further part of it; the store answers in a few
 * milliseconds and sixty times as slowly on bad days
 * @param gapMillis the least time between two watches, so that a series of changes is
 * fetched together
 * @since 0.2
 */
public record FollowSettings(long waitMillis, long answerMillis, long gapMillis) {

	public FollowSettings {
		if (waitMillis <= 0 || answerMillis <= 0 || gapMillis < 0) {
			throw new IllegalArgumentException("the times must be positive");
		}
	}

}
