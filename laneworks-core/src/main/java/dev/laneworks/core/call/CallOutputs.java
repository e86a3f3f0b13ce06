package dev.laneworks.core.call;

import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;

/**
 * Callbacks by which a {@link CallCoordinator} reaches sidecars and callers.
 * <p>
 * No method may call back into the coordinator before it returns.
 *
 * @since 0.1
 */
public interface CallOutputs {

	/**
	 * Connect to a target's sidecar.
	 * @param target the name of the sidecar's target
	 */
	void connect(String target);

	/**
	 * Send a message to a sidecar.
	 * @param target the name of the sidecar's target, whose link is up
	 * @param message the message, about one of the entry's streams
	 */
	void send(String target, EntryMessage message);

	/**
	 * Announce to the caller's side which generation the call reads.
	 * @param call the call's number
	 * @param position the position of the first chunk that will be delivered
	 * @param route the reason for the choice of the target
	 */
	void accepted(long call, StreamPosition position, String route);

	/**
	 * Deliver a chunk of output to the caller.
	 * @param call the call's number
	 * @param offset the number of chunks before this one
	 * @param data the bytes of the chunk; must not be modified
	 */
	void deliver(long call, long offset, byte[] data);

	/**
	 * Complete the caller's output.
	 * @param call the call's number
	 * @param total the number of chunks of the complete output
	 * @param reason why the output ended
	 */
	void finish(long call, long total, FinishReason reason);

	/**
	 * End the call without complete output.
	 * @param call the call's number
	 * @param refusal the final answer to the caller
	 */
	void refuse(long call, Refusal refusal);

}
