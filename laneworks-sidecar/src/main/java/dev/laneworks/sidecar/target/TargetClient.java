package dev.laneworks.sidecar.target;

import dev.laneworks.core.message.SidecarRequest;

/**
 * Client of the target next to the sidecar.
 *
 * @since 0.1
 */
public interface TargetClient {

	/**
	 * Start the execution of a request.
	 * @param generation the id to assign to the generation
	 * @param request the request to execute
	 */
	void start(String generation, SidecarRequest request);

	/**
	 * Request the output of a generation again.
	 * @param generation the id of the generation
	 * @param offset the first offset to return
	 */
	void reattach(String generation, long offset);

	/**
	 * Cancel a generation.
	 * @param generation the id of the generation
	 */
	void cancel(String generation);

	/**
	 * Preempt a generation.
	 * @param generation the id of the generation
	 */
	void pause(String generation);

	/**
	 * Resume a preempted generation.
	 * @param generation the id of the generation
	 */
	void resume(String generation);

	/**
	 * Request whether the target holds a generation; {@link TargetEvents#onLookUp}
	 * receives the result.
	 * @param generation the id of the generation
	 */
	void lookUp(String generation);

}
