package dev.laneworks.core.host;

import dev.laneworks.core.configuration.ConfigurationLedger;

/**
 * What the parts of one {@link GenerationHost} share.
 *
 * @param settings bounds and times
 * @param ledger the configuration in force
 * @param outputs what the host asks of the world
 * @param audit records decisions
 * @param counters counts decisions
 * @param held the generations and the names that must not run
 * @param delivery brings output to readers
 * @param admission decides which generations hold a place
 */
record HostParts(HostSettings settings, ConfigurationLedger ledger, HostOutputs outputs, HostAudit audit,
		HostCounters counters, HeldGenerations held, Delivery delivery, Admission admission) {

}
