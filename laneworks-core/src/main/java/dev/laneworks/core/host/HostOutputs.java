package dev.laneworks.core.host;

import dev.laneworks.core.message.OnceKey;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.Work;

/**
 * What a {@link GenerationHost} asks of the world.
 * <p>
 * No method may call back into the host before it returns.
 *
 * @since 0.1
 */
public interface HostOutputs {

	/**
	 * Send a message to an entry; dropped if the link is down.
	 * @param link the link
	 * @param message the message
	 */
	void send(long link, SidecarMessage message);

	/**
	 * Hand a request to the target.
	 * @param generation the generation's name
	 * @param work the request
	 */
	void start(String generation, Work work);

	/**
	 * Ask the target for a generation's output from an offset on.
	 * @param generation the generation's name
	 * @param offset the first offset wanted
	 */
	void reattach(String generation, long offset);

	/**
	 * Cancel a generation at the target.
	 * @param generation the generation's name
	 */
	void cancel(String generation);

	/**
	 * Make the target set a generation aside and free its memory.
	 * @param generation the generation's name
	 */
	void pause(String generation);

	/**
	 * Make the target go on with a generation that was set aside.
	 * @param generation the generation's name
	 */
	void resume(String generation);

	/**
	 * Ask the target whether it holds a generation.
	 * @param generation the generation's name
	 */
	void lookUp(String generation);

	/**
	 * Ask the sidecar of another target to bar a key.
	 * @param home the target's name
	 * @param key the key
	 */
	void askHome(String home, OnceKey key);

}
