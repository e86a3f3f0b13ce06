package dev.laneworks.core.host;

import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.SidecarRequest;

/**
 * Operations of a {@link GenerationHost} on entries, its target and other sidecars.
 * <p>
 * Implementations must not call the host before they return.
 *
 * @since 0.1
 */
public interface HostOutputs {

	/**
	 * Send a message to an entry. The message is dropped if the link is down.
	 * @param link the id of the link
	 * @param message the message
	 */
	void send(long link, SidecarMessage message);

	/**
	 * Start a request at the target.
	 * @param generation the generation's name
	 * @param request the request
	 */
	void start(String generation, SidecarRequest request);

	/**
	 * Request the output of a generation from the target, starting at an offset.
	 * @param generation the generation's name
	 * @param offset the offset of the first chunk to send
	 */
	void reattach(String generation, long offset);

	/**
	 * Cancel a generation at the target.
	 * @param generation the generation's name
	 */
	void cancel(String generation);

	/**
	 * Preempt a generation at the target and free its memory.
	 * @param generation the generation's name
	 */
	void preempt(String generation);

	/**
	 * Resume a preempted generation at the target.
	 * @param generation the generation's name
	 */
	void resume(String generation);

	/**
	 * Ask the target whether it holds a generation.
	 * @param generation the generation's name
	 */
	void lookUp(String generation);

	/**
	 * Ask the sidecar of a former home to revoke a key.
	 * @param home the name of the former home
	 * @param key the key
	 */
	void requestKeyRevocation(String home, IdempotencyKey key);

}
