package dev.laneworks.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Callback for the response of one call.
 * <p>
 * The last call is exactly one of {@link #onConnectFailed}, {@link #onComplete} and
 * {@link #onConnectionBroken}, unless the call is cancelled. Called on an I/O thread;
 * implementations must not block.
 *
 * @since 0.1
 */
public interface HttpResponseListener {

	/**
	 * Handle a failed connection; no byte of the request was sent.
	 * @param cause the reason of the failure
	 */
	void onConnectFailed(IOException cause);

	/**
	 * Handle the head of the response.
	 * @param head the status and headers
	 */
	void onHead(HttpResponseHead head);

	/**
	 * Handle a part of the response body.
	 * @param data the part; valid only during this call
	 */
	void onBody(ByteBuffer data);

	/**
	 * Handle the end of a complete response.
	 */
	void onComplete();

	/**
	 * Handle a connection that broke after the request was sent, completely or in part.
	 * @param cause the reason of the failure
	 */
	void onConnectionBroken(IOException cause);

}
