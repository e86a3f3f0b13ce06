package dev.laneworks.core.gossip;

/**
 * The times and bounds of {@link Gossip}.
 *
 * @param heartbeatMillis how often an entry tells its work though nothing changed
 * @param gapMillis the least time between two tellings, so that changes go out together;
 * shorter than the time in which one long prompt is read
 * @param silenceMillis after how long without a word an entry counts as gone; three
 * heartbeats
 * @param newsMillis how long news may be on their way; a few times the way between data
 * centres
 * @param fanOut the most entries told of a change at once; the others hear of it by the
 * heartbeat, which bounds what a large fleet says
 * @param movingMillis how often an entry tells its work while it has generations to move
 * away from a leaving target, since others wait for their turn
 * @param turnMillis after how long without a word an entry loses its turn, because it is
 * paused or gone; a few tellings, one or two of which may be lost
 * @param introductions the most addresses of other entries in one news
 * @since 0.2
 */
public record GossipSettings(long heartbeatMillis, long gapMillis, long silenceMillis, long newsMillis, int fanOut,
		long movingMillis, long turnMillis, int introductions) {

	/**
	 * Return the settings that were measured on the users' days.
	 * @return the settings
	 */
	public static GossipSettings defaults() {
		return new GossipSettings(1_000, 25, 3_200, 20, 40, 60, 200, 16);
	}

}
