package dev.laneworks.runtime.http;

import java.io.IOException;

/**
 * Signals that a response body is larger than its receiver accepts.
 *
 * @since 0.7
 */
public final class ResponseTooLargeException extends IOException {

	private static final long serialVersionUID = 1L;

	/**
	 * Create an exception.
	 * @param maxBytes the largest body that is accepted, in bytes
	 */
	public ResponseTooLargeException(int maxBytes) {
		super("the response is larger than " + maxBytes + " bytes");
	}

}
