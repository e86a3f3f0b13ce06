package dev.laneworks.core.headroom;

/**
 * Observations that determine the headroom of one service. Not thread-safe.
 *
 * @param displaced the memory displaced by departures of engines
 * @param urgent the demand of the most urgent priority
 */
record ServiceHeadroom(DisplacedMemory displaced, UrgentDemand urgent) {

	static ServiceHeadroom unknown() {
		return new ServiceHeadroom(new DisplacedMemory(), new UrgentDemand());
	}

}
