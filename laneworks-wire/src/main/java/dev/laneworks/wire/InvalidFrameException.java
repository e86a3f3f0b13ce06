package dev.laneworks.wire;

/**
 * Thrown when a frame is not what the protocol allows; its link is closed.
 *
 * @since 0.1
 */
public class InvalidFrameException extends RuntimeException {

	/**
	 * Create an exception.
	 * @param problem what is wrong with the frame
	 */
	public InvalidFrameException(String problem) {
		super(problem);
	}

	/**
	 * Create an exception with a cause.
	 * @param problem what is wrong with the frame
	 * @param cause why
	 */
	public InvalidFrameException(String problem, Throwable cause) {
		super(problem, cause);
	}

}
