package dev.laneworks.core.gossip;

/**
 * Set of entries that receive a change of work at a target before the next heartbeat.
 *
 * @since 0.2
 */
public enum UpdateScope {

	/** Some near entries, batched with other recent changes. */
	NEAR,

	/**
	 * Some near entries and all entries with work at the target, immediately, because
	 * they wait for the change.
	 */
	INVOLVED,

	/**
	 * All entries in a small fleet and otherwise a sample, batched with other recent
	 * changes, because any of them may be about to use the same target.
	 */
	SAMPLE,

	/** All entries, batched with other recent changes. */
	ALL

}
