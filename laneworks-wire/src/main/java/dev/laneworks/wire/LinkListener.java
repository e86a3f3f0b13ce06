package dev.laneworks.wire;

import dev.laneworks.wire.proto.Protocol;

/**
 * Callback for the events of links.
 * <p>
 * Called on the thread that serves the link; implementations must not block.
 *
 * @since 0.1
 */
public interface LinkListener {

	/**
	 * Handle a link whose peer has identified itself.
	 * @param link the link, ready for sending
	 */
	void onUp(Link link);

	/**
	 * Handle a received frame.
	 * @param link the link that received the frame
	 * @param frame the frame; the Hello that opens a link is not passed on
	 */
	void onFrame(Link link, Protocol.Frame frame);

	/**
	 * Handle the loss of a link; called only after {@link #onUp}.
	 * @param link the link that was closed by either side
	 */
	void onDown(Link link);

}
