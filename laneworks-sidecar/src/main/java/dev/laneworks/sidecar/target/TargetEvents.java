package dev.laneworks.sidecar.target;

import dev.laneworks.core.host.TargetLoss;
import dev.laneworks.core.message.FinishReason;

/**
 * Hears what the target does with generations.
 * <p>
 * Called on I/O threads.
 *
 * @since 0.1
 */
public interface TargetEvents {

	/**
	 * Hear of a piece of output.
	 * @param generation the generation's name
	 * @param offset the number of pieces before it
	 * @param data the output
	 */
	void onChunk(String generation, long offset, byte[] data);

	/**
	 * Hear of the end of an output.
	 * @param generation the generation's name
	 * @param total the number of pieces of the whole output
	 * @param reason why it ended
	 */
	void onEnd(String generation, long total, FinishReason reason);

	/**
	 * Hear of the loss of an output.
	 * @param generation the generation's name
	 * @param loss how it was lost
	 */
	void onLost(String generation, TargetLoss loss);

	/**
	 * Hear whether the target holds a generation.
	 * @param generation the generation's name
	 * @param found whether it does
	 */
	void onLookUp(String generation, boolean found);

}
