package dev.laneworks.core.dispatch;

/**
 * Progress of a copy.
 */
enum CopyPhase {

	/** Other copies are made first. */
	WAITING,

	/** The KV cache is copied while the execution continues. */
	PRECOPY,

	/** The execution has been ordered to stop, and the rest is copied. */
	STOPPING,

	/** The copy is complete, and the generation can resume there. */
	STOPPED

}
