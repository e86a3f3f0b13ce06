package dev.laneworks.core.host;

/**
 * Where a generation stands at a sidecar.
 */
enum GenerationState {

	/** Former homes or the target are asked about its key. */
	ASKING,

	/** It waits for admission and has not run. */
	QUEUED,

	/** It was handed to the target. */
	RUNNING,

	/**
	 * It runs but was set aside by the target at the sidecar's wish, and waits to go on.
	 */
	PAUSED,

	/** Its output is whole. */
	ENDED,

	/** There will be no more of its output. */
	FAILED;

	/**
	 * Return whether nothing of it was handed to the target.
	 * @return {@code true} before it runs
	 */
	boolean isBeforeRun() {
		return this == ASKING || this == QUEUED;
	}

	/**
	 * Return whether it is over.
	 * @return {@code true} once nothing more will come
	 */
	boolean isOver() {
		return this == ENDED || this == FAILED;
	}

}
