package dev.laneworks.core.inquiry;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * What an engine answered to the question whether it is leaving.
 *
 * @param outcome what became of the question
 * @param leavesMillis in how many milliseconds it leaves; empty where it does not tell
 * @param startMillis when the run that answers started, in milliseconds of its own time
 * of day; empty where it does not tell
 * @since 0.2
 */
public record EngineAnswer(Outcome outcome, OptionalLong leavesMillis, OptionalLong startMillis) {

	public EngineAnswer {
		Objects.requireNonNull(outcome, "outcome must not be null");
		Objects.requireNonNull(leavesMillis, "leavesMillis must not be null");
		Objects.requireNonNull(startMillis, "startMillis must not be null");
	}

	/**
	 * Create an answer that does not tell when the run that answers started.
	 * @param outcome what became of the question
	 * @param leavesMillis in how many milliseconds it leaves; empty where it does not
	 * tell
	 */
	public EngineAnswer(Outcome outcome, OptionalLong leavesMillis) {
		this(outcome, leavesMillis, OptionalLong.empty());
	}

	/**
	 * Return an answer that tells no time.
	 * @param outcome what became of the question
	 * @return the answer
	 */
	public static EngineAnswer of(Outcome outcome) {
		return new EngineAnswer(outcome, OptionalLong.empty());
	}

	/**
	 * What became of a question.
	 */
	public enum Outcome {

		/** The engine takes work. */
		STAYS,

		/** The engine is leaving. */
		LEAVES,

		/** The engine's host answered that nothing listens there. */
		REFUSED,

		/** Nothing was heard, or nothing that can be understood. */
		UNKNOWN

	}

}
