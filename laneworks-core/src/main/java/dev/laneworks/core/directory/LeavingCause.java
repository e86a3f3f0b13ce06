package dev.laneworks.core.directory;

/**
 * What showed that a target is leaving.
 *
 * @since 0.2
 */
public enum LeavingCause {

	/** The target said so itself. */
	SAID_SO,

	/** The target's entry went while the list was being followed. */
	VANISHED,

	/** The target's entry did not come back after the list had been out of reach. */
	LAPSED,

	/** The target said so to an entry that asked it. */
	SAID_SO_WHEN_ASKED,

	/** Another target is listed at the target's address. */
	ADDRESS_TAKEN,

	/** The target started again under its id: a newer run is listed. */
	STARTED_AGAIN,

	/** The target refused a request because it is leaving or is another one. */
	REFUSED

}
