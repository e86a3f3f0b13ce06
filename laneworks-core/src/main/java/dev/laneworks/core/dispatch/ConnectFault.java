package dev.laneworks.core.dispatch;

/**
 * Why a connection to a target did not come up.
 *
 * @since 0.2
 */
public enum ConnectFault {

	/** The target's host answered that nothing listens at the address. */
	REFUSED,

	/** Nothing was heard within the time, or the connection broke at once. */
	SILENT

}
