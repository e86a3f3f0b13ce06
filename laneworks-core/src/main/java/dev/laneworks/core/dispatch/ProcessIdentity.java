package dev.laneworks.core.dispatch;

/**
 * Whether the process at a target's address is the one that served an attempt.
 */
enum ProcessIdentity {

	/** The process that served the attempt; it has outlived the attempt. */
	SAME,

	/** Another process; the one that served the attempt has ended. */
	OTHER,

	/** Not shown. */
	UNKNOWN

}
