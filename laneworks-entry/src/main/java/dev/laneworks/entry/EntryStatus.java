package dev.laneworks.entry;

import java.util.List;

import dev.laneworks.core.message.LoadReport;

/**
 * Status document of an entry for operators.
 *
 * @param instance the entry's name
 * @param dataCentre the entry's data centre
 * @param configurationVersion the version of the current configuration, or 0 for none
 * @param configurationDigest the SHA-256 of the current configuration document
 * @param confirmedAgeMillis the time since the configuration service was last confirmed
 * to hold this version, or -1 for never
 * @param lastRefusal the error in the last rejected document, or an empty string
 * @param serviceCalls the number of requests to the configuration service
 * @param openCalls the number of open calls
 * @param targets the recorded state of each target that the entry uses
 */
record EntryStatus(String instance, String dataCentre, long configurationVersion, String configurationDigest,
		long confirmedAgeMillis, String lastRefusal, long serviceCalls, int openCalls, List<TargetStatus> targets) {

	/**
	 * Recorded state of one target.
	 *
	 * @param target the target's name
	 * @param dataCentre the target's data centre
	 * @param linked whether the link to its sidecar is up
	 * @param leaving whether the target is draining
	 * @param setAside whether the target is ejected after failures
	 * @param inFlight the number of this entry's requests in flight at the target
	 * @param reportAgeMillis the age of the load report
	 * @param load the target's latest load report
	 */
	record TargetStatus(String target, String dataCentre, boolean linked, boolean leaving, boolean setAside,
			int inFlight, long reportAgeMillis, LoadReport load) {

	}

}
