package dev.laneworks.sidecar.target;

import dev.laneworks.core.host.TargetLoss;
import dev.laneworks.core.message.FinishReason;

/**
 * Listener for the events of a target's generations.
 * <p>
 * Called on I/O threads.
 *
 * @since 0.1
 */
public interface TargetEvents {

	/**
	 * Handle a chunk of output.
	 * @param generation the id of the generation
	 * @param offset the number of chunks before this one
	 * @param data the output in UTF-8, or the encoded reply of a plain service
	 */
	void onChunk(String generation, long offset, byte[] data);

	/**
	 * Handle the completion of an output.
	 * @param generation the id of the generation
	 * @param total the number of chunks of the complete output
	 * @param reason the reason why the output ended
	 */
	void onEnd(String generation, long total, FinishReason reason);

	/**
	 * Handle the loss of an output.
	 * @param generation the id of the generation
	 * @param loss the kind of failure
	 */
	void onLost(String generation, TargetLoss loss);

	/**
	 * Handle the result of a lookup.
	 * @param generation the id of the generation
	 * @param found whether the target holds the generation
	 */
	void onLookUp(String generation, boolean found);

}
