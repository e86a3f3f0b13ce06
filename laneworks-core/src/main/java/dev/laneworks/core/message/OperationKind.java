package dev.laneworks.core.message;

/**
 * Kind of operation that a target executes.
 *
 * @since 0.1
 */
public enum OperationKind {

	/** Text completion with a stream of tokens as output. */
	COMPLETION,

	/** Chat completion with a stream of tokens as output. */
	CHAT,

	/** Call of a plain service with one chunk as output. */
	SERVICE

}
