package dev.laneworks.wire;

/**
 * Thrown when a frame violates the protocol; the link that received it is closed.
 *
 * @since 0.1
 */
public class InvalidFrameException extends RuntimeException {

	/**
	 * Create an exception with a message.
	 * @param problem the violation of the protocol
	 */
	public InvalidFrameException(String problem) {
		super(problem);
	}

	/**
	 * Create an exception with a cause.
	 * @param problem the violation of the protocol
	 * @param cause the exception that the decoder threw
	 */
	public InvalidFrameException(String problem, Throwable cause) {
		super(problem, cause);
	}

}
