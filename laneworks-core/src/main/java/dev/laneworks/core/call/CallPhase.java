package dev.laneworks.core.call;

/**
 * Where a call stands at its entry.
 */
enum CallPhase {

	/** It waits before the next attempt. */
	BACKING_OFF,

	/** A target is chosen but its link is not up; nothing was sent. */
	CONNECTING,

	/** The request was sent and nothing was heard of it. */
	SUBMITTED,

	/** The sidecar took it on. */
	READING,

	/** The sidecar was or will be asked to bar it. */
	BARRING,

	/** The link is lost, or the sidecar was asked for the generation's output again. */
	REATTACHING

}
