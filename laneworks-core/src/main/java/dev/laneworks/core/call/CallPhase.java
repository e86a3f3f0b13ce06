package dev.laneworks.core.call;

/**
 * Phase of an open {@link Call}.
 */
enum CallPhase {

	/** Waiting for the delay before the next attempt. */
	BACKING_OFF,

	/** A target is selected but its link is down; nothing was sent. */
	CONNECTING,

	/** The request was sent and has not been answered. */
	SUBMITTED,

	/** The sidecar accepted the request and its output is being read. */
	READING,

	/** The attempt is being revoked, or will be once the link is up. */
	REVOKING,

	/** The link is down, or the rest of the generation's output was requested. */
	REATTACHING

}
