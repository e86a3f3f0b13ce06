package dev.laneworks.entry.caller;

import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;

/**
 * Response to one caller while its call is open.
 * <p>
 * Called on the thread of the duty; implementations must not block.
 *
 * @since 0.1
 */
public interface CallerResponse {

	/**
	 * Accept the generation whose output follows.
	 * @param position the position of the first chunk that will be delivered
	 * @param route the reason for the choice of the target
	 */
	void accepted(StreamPosition position, String route);

	/**
	 * Send a chunk of output to the caller.
	 * @param offset the number of chunks before this one
	 * @param data the output in UTF-8, or the encoded reply of a plain service
	 */
	void deliver(long offset, byte[] data);

	/**
	 * Complete the response after the last chunk.
	 * @param total the number of chunks of the complete output
	 * @param reason the reason why the output ended
	 */
	void finish(long total, FinishReason reason);

	/**
	 * End the response with a refusal instead of the complete output.
	 * @param refusal the reason and the verdict for the caller
	 */
	void refuse(Refusal refusal);

}
