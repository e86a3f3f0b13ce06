package dev.laneworks.entry.direct;

/**
 * What an entry's I/O thread looks at now and then, so that gauges can tell it on other
 * threads.
 *
 * @param doubtedTargets the targets where connections are refused
 * @param coldTargets the targets that take few requests for a while
 * @param limitedTargets the targets that name a limit
 * @param restingTargets the targets that asked this entry for rest
 * @param quarantinedRequests the requests that are kept from targets
 * @param evacuatedDataCentres the data centres that nothing is sent to
 * @param storeBehindMillis for how long it has been known that changes of the store are
 * missing, in milliseconds
 */
record EntryFigures(long doubtedTargets, long coldTargets, int limitedTargets, int restingTargets,
		long quarantinedRequests, int evacuatedDataCentres, long storeBehindMillis) {

	/** The figures before the first look. */
	static final EntryFigures NONE = new EntryFigures(0, 0, 0, 0, 0, 0, 0);

}
