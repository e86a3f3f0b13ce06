package dev.laneworks.core.host;

/**
 * State of a generation at a sidecar.
 */
enum GenerationState {

	/** Awaits answers of former homes or the target about its key. */
	ASKING,

	/** Waits for admission and has not run. */
	QUEUED,

	/** Runs at the target. */
	RUNNING,

	/** Was preempted and waits to resume. */
	PAUSED,

	/** Ended with a complete output. */
	ENDED,

	/** Ended without a complete output. */
	FAILED;

	/**
	 * Determine whether the request was not yet sent to the target.
	 * @return {@code true} in the states before the execution
	 */
	boolean isBeforeExecution() {
		return this == ASKING || this == QUEUED;
	}

	/**
	 * Determine whether no more output will arrive.
	 * @return {@code true} in the final states
	 */
	boolean isFinished() {
		return this == ENDED || this == FAILED;
	}

}
