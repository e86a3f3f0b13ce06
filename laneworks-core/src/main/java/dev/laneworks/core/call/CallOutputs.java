package dev.laneworks.core.call;

import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;

/**
 * What a {@link CallCoordinator} asks of the world.
 * <p>
 * No method may call back into the coordinator before it returns.
 *
 * @since 0.1
 */
public interface CallOutputs {

	/**
	 * Bring up a link to a target's sidecar.
	 * @param target the target's name
	 */
	void connect(String target);

	/**
	 * Send a message to a sidecar.
	 * @param target the target's name
	 * @param message the message
	 */
	void send(String target, EntryMessage message);

	/**
	 * Tell the caller's side which generation it reads.
	 * @param call the call
	 * @param position the position of the first piece that will be delivered
	 * @param route why it runs there
	 */
	void accepted(long call, StreamPosition position, String route);

	/**
	 * Give the caller a piece of output.
	 * @param call the call
	 * @param offset the number of pieces before it
	 * @param data the output
	 */
	void deliver(long call, long offset, byte[] data);

	/**
	 * Tell the caller that its output is whole.
	 * @param call the call
	 * @param total the number of pieces of the whole output
	 * @param reason why the output ended
	 */
	void finish(long call, long total, FinishReason reason);

	/**
	 * Give the caller a final answer other than a whole output.
	 * @param call the call
	 * @param refusal the answer
	 */
	void refuse(long call, Refusal refusal);

}
