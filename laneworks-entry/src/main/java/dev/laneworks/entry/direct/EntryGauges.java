package dev.laneworks.entry.direct;

import java.util.Map;

/**
 * Gauge values that the I/O thread collects at intervals for readers on other threads.
 *
 * @param suspectedTargets the targets that refuse connections
 * @param coldTargets the targets that receive few requests while they warm up
 * @param rateLimitedTargets the targets that advertise a rate limit
 * @param targetsInBackoff the targets that requested a backoff of this entry
 * @param quarantinedRequests the requests that are sent to no target
 * @param quarantinedParts the groups of prompt parts that are held responsible for
 * crashes of targets
 * @param evacuatedDataCentres the data centres that receive no requests
 * @param planVersion the version of the active plan; -1 if there is none
 * @param storeBehindMillis for how long changes of the store have been known to be
 * missing, in milliseconds
 * @param startLimit the lowest limit of engine memory utilization of any service up to
 * which less urgent generations start
 * @param displacedShare the largest share of the remaining engine memory of any service
 * that recently had to move at once
 * @param refusedFromQueue the generations refused instead of waiting, or after waiting
 * @param callerConnections the open connections of callers
 * @param unanswered the connections with a request that was read and has no complete
 * answer
 * @param waiting the generations that wait for engine memory, by priority
 */
record EntryGauges(long suspectedTargets, long coldTargets, int rateLimitedTargets, int targetsInBackoff,
		long quarantinedRequests, long quarantinedParts, int evacuatedDataCentres, long planVersion,
		long storeBehindMillis, double startLimit, double displacedShare, long refusedFromQueue, int callerConnections,
		int unanswered, Map<Integer, WaitingGauge> waiting) {

	/** The values before the first collection. */
	static final EntryGauges NONE = new EntryGauges(0, 0, 0, 0, 0, 0, 0, -1, 0, 1, 0, 0, 0, 0, Map.of());

}
