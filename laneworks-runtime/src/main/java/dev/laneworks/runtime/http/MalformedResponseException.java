package dev.laneworks.runtime.http;

import java.io.IOException;

/**
 * Signals that a server sent bytes that are no valid response, so that neither its status
 * nor its body is known.
 *
 * @since 0.8
 */
public final class MalformedResponseException extends IOException {

	private static final long serialVersionUID = 1L;

	/**
	 * Create an exception.
	 * @param message what is malformed, in printable characters only
	 */
	MalformedResponseException(String message) {
		super(message);
	}

}
