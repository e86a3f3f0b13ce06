package dev.laneworks.core.message;

/**
 * Result of the revocation of an attempt or a key at a sidecar.
 *
 * @since 0.1
 */
public enum RevocationOutcome {

	/** The attempt has not run and will not run. */
	BARRED,

	/** The attempt is running or has run; its output can be requested. */
	HAS_RUN,

	/** The sidecar cannot determine whether the attempt ran. */
	UNKNOWN

}
