package dev.laneworks.core.dispatch;

import java.util.Objects;

/**
 * Result of a copy.
 *
 * @param outcome whether the copy was made, or why not
 * @param handle the handle of the copy, or empty text
 * @since 0.2
 */
public record CopyResult(Outcome outcome, String handle) {

	public CopyResult {
		Objects.requireNonNull(outcome, "outcome must not be null");
		Objects.requireNonNull(handle, "handle must not be null");
	}

	/**
	 * Outcome of a copy.
	 */
	public enum Outcome {

		/** The destination holds the copy. */
		COPIED,

		/** The engine does not execute the generation. */
		NO_SUCH_RUN,

		/** A copy of the generation is already in progress. */
		UNDER_WAY,

		/** The destination has too little memory or is unreachable. */
		NO_ROOM,

		/** The engine returned an unexpected answer. */
		FAILED,

		/** The order was not sent: the engine refused the connection. */
		NOT_SENT,

		/**
		 * The engine that executes the generation did not answer: it is lost or
		 * partitioned. It may have carried out the order.
		 */
		NO_ANSWER;

		// Whether the source answered that it did not copy a generation which it may
		// hold.
		boolean isRejectedBySource() {
			return this == NO_ROOM || this == FAILED || this == UNDER_WAY;
		}

	}

}
