package dev.laneworks.core.inquiry;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Answer of an engine to the query whether it is draining.
 *
 * @param outcome the result of the query
 * @param stopsInMillis the time until the engine stops, in milliseconds; empty if the
 * engine does not report it
 * @param startMillis the start time of the answering incarnation, in milliseconds of the
 * engine's wall clock; empty if the engine does not report it
 * @since 0.2
 */
public record EngineAnswer(Outcome outcome, OptionalLong stopsInMillis, OptionalLong startMillis) {

	public EngineAnswer {
		Objects.requireNonNull(outcome, "outcome must not be null");
		Objects.requireNonNull(stopsInMillis, "stopsInMillis must not be null");
		Objects.requireNonNull(startMillis, "startMillis must not be null");
	}

	/**
	 * Create an answer without a start time.
	 * @param outcome the result of the query
	 * @param leavesMillis the time until the engine stops, in milliseconds; empty if the
	 * engine does not report it
	 */
	public EngineAnswer(Outcome outcome, OptionalLong leavesMillis) {
		this(outcome, leavesMillis, OptionalLong.empty());
	}

	/**
	 * Create an answer without any time.
	 * @param outcome the result of the query
	 * @return an answer with the outcome only
	 */
	public static EngineAnswer of(Outcome outcome) {
		return new EngineAnswer(outcome, OptionalLong.empty());
	}

	/**
	 * Result of a query.
	 */
	public enum Outcome {

		/** The engine accepts requests. */
		ACCEPTING,

		/** The engine is draining. */
		DRAINING,

		/** The engine's host refused the connection because no process listens there. */
		REFUSED,

		/** There was no answer or no valid one. */
		UNKNOWN

	}

}
