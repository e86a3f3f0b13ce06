package dev.laneworks.core.host;

import dev.laneworks.core.configuration.ConfigurationHolder;

/**
 * Shared components of one {@link GenerationHost}.
 *
 * @param settings the limits and timeouts
 * @param configurationHolder the current configuration
 * @param outputs the operations on entries, the target and other sidecars
 * @param audit the audit log of the host
 * @param counters the counters of the host
 * @param registry the held generations and the names that must not run
 * @param delivery the delivery of output to readers
 * @param admission the admission control of the target
 */
record HostContext(HostSettings settings, ConfigurationHolder configurationHolder, HostOutputs outputs, HostAudit audit,
		HostCounters counters, GenerationRegistry registry, Delivery delivery, AdmissionController admission) {

}
