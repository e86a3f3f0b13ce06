package dev.laneworks.core.gossip;

/**
 * Intervals and limits of {@link Gossip}.
 *
 * @param heartbeatMillis the interval of updates with all work to near entries, in
 * milliseconds
 * @param distantHeartbeats the number of heartbeats between two updates to the same
 * distant entry
 * @param minUpdateGapMillis the shortest time between two updates, in milliseconds, which
 * batches changes; shorter than the prefill of a long prompt
 * @param deliveryMillis the longest expected delivery time of an update, in milliseconds;
 * a few times the latency between data centres
 * @param fanOut the most near entries that receive a change before the heartbeat; in a
 * fleet of up to this size all entries are near
 * @param maxWideReceivers the most entries, besides those concerned, that receive a
 * change of {@link UpdateScope#SAMPLE}; bounds the traffic of an entry as the fleet grows
 * @param moveUpdateMillis the interval of updates while an entry moves generations away
 * from a draining target, in milliseconds
 * @param maxTurnSilenceMillis the silence after which an entry loses its turn, in
 * milliseconds; long enough for one or two lost updates
 * @param maxAdvertisedPeers the most addresses of other entries in one update
 * @since 0.2
 */
public record GossipSettings(long heartbeatMillis, int distantHeartbeats, long minUpdateGapMillis, long deliveryMillis,
		int fanOut, int maxWideReceivers, long moveUpdateMillis, long maxTurnSilenceMillis, int maxAdvertisedPeers) {

	/**
	 * Return the default settings.
	 * @return the settings in use
	 */
	public static GossipSettings defaults() {
		return new GossipSettings(1_000, 3, 25, 20, 8, 32, 80, 260, 6);
	}

}
