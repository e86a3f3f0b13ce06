package dev.laneworks.entry.caller;

import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;

/**
 * The answer to one caller under way.
 * <p>
 * Called on the deciding duty's thread, which must not be held up.
 *
 * @since 0.1
 */
public interface CallerAnswer {

	/**
	 * Hear which generation the caller reads.
	 * @param position the position of the first piece that will be delivered
	 * @param route why it runs there
	 */
	void accepted(StreamPosition position, String route);

	/**
	 * Give the caller a piece of output.
	 * @param offset the number of pieces before it
	 * @param data the output
	 */
	void deliver(long offset, byte[] data);

	/**
	 * Tell the caller that its output is whole.
	 * @param total the number of pieces of the whole output
	 * @param reason why the output ended
	 */
	void finish(long total, FinishReason reason);

	/**
	 * Give the caller a final answer other than a whole output.
	 * @param refusal the answer
	 */
	void refuse(Refusal refusal);

}
