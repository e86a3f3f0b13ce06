package dev.laneworks.sidecar;

import java.util.List;

import dev.laneworks.core.configuration.ConfigurationHolder;
import dev.laneworks.core.host.GenerationStatus;
import dev.laneworks.core.message.LoadReport;

/**
 * Status document of a sidecar for operators.
 *
 * @param target the target's name
 * @param dataCentre the target's data centre
 * @param incarnation identifies the process lifetime of the sidecar, in hexadecimal
 * @param configurationVersion the version of the current configuration, or 0 for none
 * @param configurationDigest the SHA-256 of the current configuration document
 * @param confirmedAgeMillis the time since the configuration service was last confirmed
 * to hold this version, or -1 for never
 * @param lastRefusal the error in the last rejected document, or an empty string
 * @param serviceCalls the number of requests to the configuration service
 * @param links the number of open links from entries
 * @param load the current load report
 * @param generations the state of each generation held
 */
record SidecarStatus(String target, String dataCentre, String incarnation, long configurationVersion,
		String configurationDigest, long confirmedAgeMillis, String lastRefusal, long serviceCalls, int links,
		LoadReport load, List<GenerationStatus> generations) {

	static long age(long millis) {
		return (millis != ConfigurationHolder.NEVER_CONFIRMED) ? millis : -1;
	}

}
