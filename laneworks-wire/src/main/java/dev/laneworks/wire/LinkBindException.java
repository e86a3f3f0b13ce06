package dev.laneworks.wire;

/**
 * Thrown when a process cannot open the address on which it receives links or datagrams.
 *
 * @since 0.1
 */
public class LinkBindException extends RuntimeException {

	/**
	 * Create an exception with a message and a cause.
	 * @param message the address and the operation that failed
	 * @param cause the exception of the network layer
	 */
	public LinkBindException(String message, Throwable cause) {
		super(message, cause);
	}

}
