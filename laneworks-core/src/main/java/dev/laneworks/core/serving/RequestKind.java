package dev.laneworks.core.serving;

/**
 * Kind of the requests of a route, which determines whether they may be repeated.
 *
 * @since 0.2
 */
public enum RequestKind {

	/** The request may run more than once. */
	SAFE,

	/** The request may run at most once. */
	UNSAFE,

	/** The request may run at most once and its answer is a stream of events. */
	STREAMING;

	/**
	 * Determine whether the request may run more than once.
	 * @return {@code true} for {@link #SAFE} only
	 */
	public boolean isRepeatable() {
		return this == SAFE;
	}

}
