package dev.laneworks.core.serving;

/**
 * What may be done again with a request of a route.
 *
 * @since 0.2
 */
public enum RequestKind {

	/** The request may run more than once. */
	SAFE,

	/** The request may run once at most. */
	UNSAFE,

	/** The request may run once at most, and its answer is a stream of events. */
	STREAMING;

	/**
	 * Return whether the request may run more than once.
	 * @return whether it is repeatable
	 */
	public boolean isRepeatable() {
		return this == SAFE;
	}

}
