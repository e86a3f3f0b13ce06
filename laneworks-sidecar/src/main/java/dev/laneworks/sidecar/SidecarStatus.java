package dev.laneworks.sidecar;

import java.util.List;

import dev.laneworks.core.configuration.ConfigurationLedger;
import dev.laneworks.core.host.GenerationStatus;
import dev.laneworks.core.message.LoadReport;

/**
 * What a sidecar believes, for operators.
 *
 * @param target the target's name
 * @param dataCentre its data centre
 * @param incarnation different for each process
 * @param configurationVersion the version in force, or 0
 * @param configurationDigest the SHA-256 of the document in force
 * @param confirmedAgeMillis how long ago the service was heard to hold it, or -1 for
 * never
 * @param lastRefusal the fault of the last document refused, or empty text
 * @param serviceCalls the calls made to the configuration service
 * @param links the links from entries
 * @param load the load
 * @param generations the generations held
 */
record SidecarStatus(String target, String dataCentre, String incarnation, long configurationVersion,
		String configurationDigest, long confirmedAgeMillis, String lastRefusal, long serviceCalls, int links,
		LoadReport load, List<GenerationStatus> generations) {

	static long age(long millis) {
		return (millis != ConfigurationLedger.NEVER_CONFIRMED) ? millis : -1;
	}

}
