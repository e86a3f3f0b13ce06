package dev.laneworks.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Hears of one call's response.
 * <p>
 * Exactly one of {@link #onNotSent}, {@link #onEnd} and {@link #onBroken} is called,
 * last. Called on an I/O thread, which must not be held up.
 *
 * @since 0.1
 */
public interface HttpResponseListener {

	/**
	 * Hear that no byte of the request was sent.
	 * @param cause why
	 */
	void onNotSent(IOException cause);

	/**
	 * Hear of the response's head.
	 * @param head the head
	 */
	void onHead(HttpResponseHead head);

	/**
	 * Hear of a part of the body.
	 * @param data the part; valid during the call only
	 */
	void onBody(ByteBuffer data);

	/**
	 * Hear that the response is whole.
	 */
	void onEnd();

	/**
	 * Hear that the connection broke after the request was sent, wholly or in part.
	 * @param cause why
	 */
	void onBroken(IOException cause);

}
