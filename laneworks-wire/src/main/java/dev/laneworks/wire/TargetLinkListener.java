package dev.laneworks.wire;

import dev.laneworks.wire.proto.Protocol;

/**
 * Hears of the links that a {@link TargetLinks} keeps.
 *
 * @since 0.1
 */
public interface TargetLinkListener {

	/**
	 * Hear that a link is up.
	 * @param target the target's name
	 * @param link the link
	 */
	void onUp(String target, Link link);

	/**
	 * Hear of a frame.
	 * @param target the target's name
	 * @param link the link
	 * @param frame the frame
	 */
	void onFrame(String target, Link link, Protocol.Frame frame);

	/**
	 * Hear that a link is down, or that a try to bring it up failed.
	 * @param target the target's name
	 */
	void onDown(String target);

}
