package dev.laneworks.core.dispatch;

import java.util.Objects;

/**
 * How a copy ended.
 *
 * @param outcome what became of it
 * @param handle the copy's name, or empty text
 * @since 0.2
 */
public record CopyResult(Outcome outcome, String handle) {

	public CopyResult {
		Objects.requireNonNull(outcome, "outcome must not be null");
		Objects.requireNonNull(handle, "handle must not be null");
	}

	/**
	 * What became of a copy.
	 */
	public enum Outcome {

		/** The copy stands at its destination. */
		COPIED,

		/** The engine runs no such generation. */
		NO_SUCH_RUN,

		/** A copy of the generation is already under way. */
		UNDER_WAY,

		/** The destination has no room or can't be reached. */
		NO_ROOM,

		/** The engine answered otherwise than expected. */
		FAILED,

		/** The engine that runs the generation did not answer: it is gone or cut off. */
		NO_ANSWER

	}

}
