package dev.laneworks.wire;

import dev.laneworks.wire.proto.Protocol;

/**
 * Callback for the events of the links that a {@link TargetLinks} manages.
 * <p>
 * Called on the event loop of the links; implementations must not block.
 *
 * @since 0.1
 */
public interface TargetLinkListener {

	/**
	 * Handle a link whose peer has identified itself as the target.
	 * @param target the target's name
	 * @param link the link, ready for sending
	 */
	void onUp(String target, Link link);

	/**
	 * Handle a received frame.
	 * @param target the target's name
	 * @param link the link that received the frame
	 * @param frame the frame; the Hello that opens a link is not passed on
	 */
	void onFrame(String target, Link link, Protocol.Frame frame);

	/**
	 * Handle the loss of a link or a failed connection attempt.
	 * @param target the target's name
	 */
	void onDown(String target);

}
