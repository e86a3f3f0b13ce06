package dev.laneworks.core.message;

/**
 * What a sidecar answers when it is asked to bar an attempt.
 *
 * @since 0.1
 */
public enum BarOutcome {

	/** The attempt had not run and can't run any more. */
	BARRED,

	/** The attempt runs or has run; its reader may attach to it. */
	HAS_RUN,

	/** The sidecar can't tell. */
	UNKNOWN

}
