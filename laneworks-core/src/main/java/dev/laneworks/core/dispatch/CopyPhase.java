package dev.laneworks.core.dispatch;

/**
 * How far a copy has come.
 */
enum CopyPhase {

	/** Other copies go first. */
	WAITING,

	/** The run goes on while its memory is copied. */
	AHEAD,

	/** The run was told to stop, and the rest is copied. */
	STOPPING,

	/** The copy is whole, and the generation can go on there. */
	STOPPED

}
