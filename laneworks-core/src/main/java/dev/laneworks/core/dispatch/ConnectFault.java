package dev.laneworks.core.dispatch;

/**
 * Reason why a connection to a target was not established.
 *
 * @since 0.2
 */
public enum ConnectFault {

	/** The host of the target reported that nothing listens at the address. */
	REFUSED,

	/** The connection timed out or was closed immediately. */
	TIMED_OUT

}
