package dev.laneworks.wire;

import dev.laneworks.wire.proto.Protocol;

/**
 * Hears of a link.
 * <p>
 * Called on the thread that serves the link, which must not be held up.
 *
 * @since 0.1
 */
public interface LinkListener {

	/**
	 * Hear that the peer has said who it is.
	 * @param link the link
	 */
	void onUp(Link link);

	/**
	 * Hear of a frame.
	 * @param link the link
	 * @param frame the frame
	 */
	void onFrame(Link link, Protocol.Frame frame);

	/**
	 * Hear that the link is down.
	 * @param link the link
	 */
	void onDown(Link link);

}
