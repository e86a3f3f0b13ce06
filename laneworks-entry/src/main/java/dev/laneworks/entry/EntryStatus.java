package dev.laneworks.entry;

import java.util.List;

import dev.laneworks.core.message.LoadReport;

/**
 * What an entry believes, for operators.
 *
 * @param instance the entry's name
 * @param dataCentre its data centre
 * @param configurationVersion the version in force, or 0
 * @param configurationDigest the SHA-256 of the document in force
 * @param confirmedAgeMillis how long ago the service was heard to hold it, or -1 for
 * never
 * @param lastRefusal the fault of the last document refused, or empty text
 * @param serviceCalls the calls made to the configuration service
 * @param openCalls the calls under way
 * @param targets what it believes of the targets it uses
 */
record EntryStatus(String instance, String dataCentre, long configurationVersion, String configurationDigest,
		long confirmedAgeMillis, String lastRefusal, long serviceCalls, int openCalls, List<TargetBelief> targets) {

	/**
	 * What an entry believes of one target.
	 *
	 * @param target the target's name
	 * @param dataCentre its data centre
	 * @param linked whether the link is up
	 * @param leaving whether it takes no new work
	 * @param setAside whether it is set aside after failures
	 * @param inFlight this entry's requests under way there
	 * @param reportAgeMillis how old its load report is
	 * @param load its load report
	 */
	record TargetBelief(String target, String dataCentre, boolean linked, boolean leaving, boolean setAside,
			int inFlight, long reportAgeMillis, LoadReport load) {

	}

}
