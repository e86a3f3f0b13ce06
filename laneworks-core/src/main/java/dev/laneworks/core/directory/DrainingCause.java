package dev.laneworks.core.directory;

/**
 * Evidence from which the directory concluded that a target is draining.
 *
 * @since 0.2
 */
public enum DrainingCause {

	/** The target's list entry reports it. */
	SAID_SO,

	/** The target's list entry was removed while the list was reachable. */
	VANISHED,

	/** The target's list entry was not written again after an outage of the list. */
	LAPSED,

	/** The target reported it in answer to an entry's request. */
	SAID_SO_WHEN_ASKED,

	/** Another target is listed at the target's address. */
	ADDRESS_TAKEN,

	/** A newer incarnation of the target is listed under its id. */
	STARTED_AGAIN,

	/** The target rejected a request because it is draining or another target. */
	REFUSED

}
