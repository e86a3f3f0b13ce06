package dev.laneworks.core.configuration;

/**
 * Where requests may go when the data centres of their intent are full.
 *
 * @since 0.1
 */
public enum SpillRule {

	/** To no other data centre. */
	NONE,

	/** To other data centres of the same region. */
	REGION,

	/** To any data centre. */
	ANY

}
