package dev.laneworks.core.audit;

import java.util.Locale;

/**
 * Kind of an {@link AuditEvent}.
 *
 * @since 0.1
 */
public enum AuditKind {

	/** A configuration became effective. */
	CONFIGURATION_ACCEPTED,

	/** A configuration was refused. */
	CONFIGURATION_REFUSED,

	/** The configuration service became unreachable or reachable again. */
	CONFIGURATION_SERVICE,

	/** A generation waits for engine memory. */
	QUEUED,

	/** A target was selected for an attempt. */
	ROUTED,

	/** An attempt will be followed by another one. */
	RETRIED,

	/** The retry budget of a service is exhausted. */
	RETRY_BUDGET,

	/** A request was refused or ended early. */
	REFUSED,

	/** A request was admitted to its target. */
	ADMITTED,

	/** A generation was preempted to free memory. */
	YIELDED,

	/** A preempted generation was resumed. */
	RESUMED,

	/** A reader attached or reattached to a generation. */
	ATTACHED,

	/** A generation was cancelled because it has no reader. */
	CANCELLED,

	/** An attempt or a key was revoked. */
	BARRED,

	/** A target was ejected or its ejection ended. */
	TARGET_HEALTH,

	/** A link was established or lost. */
	LINK,

	/** The process started draining. */
	LEAVING,

	/** A process pause was detected. */
	PAUSED,

	/** A command was sent to a target. */
	ORDERED,

	/** An operator's plan was created or confirmed. */
	PLANNED,

	/** A target was added, is draining or was removed. */
	MEMBERSHIP,

	/** The evacuation of a data centre started or ended. */
	EVACUATION,

	/** An item of the store is invalid. */
	ITEM_REFUSED,

	/** A request was accepted at ingress. */
	ACCEPTED,

	/** A request was answered by its target, or its stream completed. */
	ANSWERED,

	/** A stream was aborted before its end. */
	CUT,

	/** A target crashed while executing a request. */
	SUSPECTED,

	/** The quarantine of a request started or ended. */
	QUARANTINED,

	/** A running generation is being copied to another target or has resumed there. */
	MOVED;

	/**
	 * Return the label used in logs.
	 * @return the lower-case name with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
