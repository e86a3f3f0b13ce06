package dev.laneworks.core.configuration;

/**
 * Rule that limits the data centres to which requests are routed when those of their
 * intent are full.
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
