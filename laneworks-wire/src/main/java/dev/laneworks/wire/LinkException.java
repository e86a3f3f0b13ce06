package dev.laneworks.wire;

/**
 * Thrown when links can't be had at all.
 *
 * @since 0.1
 */
public class LinkException extends RuntimeException {

	/**
	 * Create an exception.
	 * @param message what failed
	 * @param cause why
	 */
	public LinkException(String message, Throwable cause) {
		super(message, cause);
	}

}
