package dev.laneworks.core.call;

import dev.laneworks.core.audit.AuditSink;

/**
 * What the parts of one {@link CallCoordinator} share.
 *
 * @param settings bounds and times
 * @param outputs what the coordinator asks of the world
 * @param audit takes audit events
 * @param counters counts what becomes of calls
 * @param sidecars the sidecars whose links are up
 * @param targets tells how calls fare at targets
 * @param calls the open calls
 */
record CallParts(CallSettings settings, CallOutputs outputs, AuditSink audit, CallCounters counters, Sidecars sidecars,
		TargetRecords targets, OpenCalls calls) {

}
