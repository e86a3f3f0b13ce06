package dev.laneworks.core.dispatch;

/**
 * What the framing of a stream shows at its end.
 */
enum StreamEnd {

	/** Its length or its last chunk marked the end. */
	MARKED,

	/** It ended with its connection, between two events. */
	CLOSE_DELIMITED,

	/** It broke off. */
	BROKEN

}
