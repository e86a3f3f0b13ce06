package dev.laneworks.sidecar.target;

import dev.laneworks.core.message.Work;

/**
 * Gives requests to the target.
 *
 * @since 0.1
 */
public interface TargetClient {

	/**
	 * Hand a request to the target.
	 * @param generation the generation's name
	 * @param work the request
	 */
	void start(String generation, Work work);

	/**
	 * Ask for a generation's output from an offset on.
	 * @param generation the generation's name
	 * @param offset the first offset wanted
	 */
	void reattach(String generation, long offset);

	/**
	 * Cancel a generation.
	 * @param generation the generation's name
	 */
	void cancel(String generation);

	/**
	 * Set a generation aside.
	 * @param generation the generation's name
	 */
	void pause(String generation);

	/**
	 * Go on with a generation that was set aside.
	 * @param generation the generation's name
	 */
	void resume(String generation);

	/**
	 * Ask whether the target holds a generation.
	 * @param generation the generation's name
	 */
	void lookUp(String generation);

}
