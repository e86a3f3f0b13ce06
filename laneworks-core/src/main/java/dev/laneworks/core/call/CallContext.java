package dev.laneworks.core.call;

import dev.laneworks.core.audit.AuditSink;

/**
 * Objects shared by the collaborators of one {@link CallCoordinator}.
 *
 * @param settings the limits and timeouts
 * @param outputs connects to sidecars and answers callers
 * @param audit records decisions and their causes
 * @param counters the counters of the coordinator
 * @param sidecars the sidecars whose links are up
 * @param targets records the outcomes of attempts
 * @param calls the open calls
 */
record CallContext(CallSettings settings, CallOutputs outputs, AuditSink audit, CallCounters counters,
		SidecarIncarnations sidecars, TargetOutcomes targets, OpenCalls calls) {

}
