package dev.laneworks.core.gossip;

/**
 * The times and bounds of {@link Gossip}.
 *
 * @param heartbeatMillis how often an entry tells all its work to entries near by though
 * nothing changed
 * @param distantBeats after how many heartbeats distant entries are told
 * @param gapMillis the least time between two tellings, so that changes go out together;
 * shorter than the time in which one long prompt is read
 * @param newsMillis how long news may be on their way; a few times the way between data
 * centres
 * @param fanOut the most entries that a change is told to at once; the others hear of it
 * by the heartbeat. Where there are no more entries than this, all are near
 * @param mostTold the most entries that hear at once of work begun, beside those
 * concerned; bounds what an entry sends as the fleet grows
 * @param movingMillis how often an entry tells its work while it has generations to move
 * away from a leaving target, since others wait for their turn
 * @param turnMillis after how long without a word an entry loses its turn, because it is
 * paused or gone; a few tellings, one or two of which may be lost
 * @param introductions the most addresses of other entries in one news
 * @since 0.2
 */
public record GossipSettings(long heartbeatMillis, int distantBeats, long gapMillis, long newsMillis, int fanOut,
		int mostTold, long movingMillis, long turnMillis, int introductions) {

	/**
	 * Return the settings in use.
	 * @return the settings
	 */
	public static GossipSettings defaults() {
		return new GossipSettings(1_000, 3, 25, 20, 8, 32, 80, 260, 6);
	}

}
