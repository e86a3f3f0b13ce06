package dev.laneworks.core.gossip;

/**
 * Who is to hear of a change of work at a target before the next heartbeat.
 *
 * @since 0.2
 */
public enum ChangeReach {

	/** Some entries near by, together with other changes of the moment. */
	NEAR,

	/**
	 * Some entries near by and all that work at the target, at once: they wait for it.
	 */
	CONCERNED,

	/**
	 * All entries where they are not too many and otherwise some of all, together with
	 * other changes of the moment: any of them may be about to use the same target.
	 */
	WIDE,

	/** All entries, together with other changes of the moment. */
	ALL

}
