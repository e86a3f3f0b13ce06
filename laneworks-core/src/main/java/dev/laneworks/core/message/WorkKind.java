package dev.laneworks.core.message;

/**
 * What a target is asked to do.
 *
 * @since 0.1
 */
public enum WorkKind {

	/** A text completion, whose output is a stream of tokens. */
	COMPLETION,

	/** A chat completion, whose output is a stream of tokens. */
	CHAT,

	/** A call of a plain service, whose output is one chunk. */
	SERVICE

}
