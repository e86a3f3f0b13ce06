package dev.laneworks.core.waiting;

import java.util.Objects;

/**
 * Decision that a generation is not to wait.
 *
 * @param generation the generation, which is not in the queue
 * @param cause the rule that applied
 * @param expectedWaitMillis the estimated time until it could have started, in
 * milliseconds
 * @since 0.4
 */
public record QueueRefusal(QueuedGeneration generation, Cause cause, long expectedWaitMillis) {

	public QueueRefusal {
		Objects.requireNonNull(generation, "generation must not be null");
		Objects.requireNonNull(cause, "cause must not be null");
	}

	/**
	 * Rules by which a generation is not to wait.
	 */
	public enum Cause {

		/** It is not expected to start within its longest wait. */
		STARTS_TOO_LATE("no engine is expected to have memory for the generation in time"),

		/** It has waited as long as its caller can be kept waiting. */
		WAITED_TOO_LONG("no engine had memory for the generation before its longest wait passed"),

		/** It could not complete before its deadline. */
		COMPLETES_TOO_LATE("the generation could not complete before its deadline"),

		/** The queue is full and the generation is last in it. */
		QUEUE_FULL("the queue for engine memory is full");

		private final String detail;

		Cause(String detail) {
			this.detail = detail;
		}

		/**
		 * Return the text for the caller's operator.
		 * @return one sentence without a full stop
		 */
		public String detail() {
			return this.detail;
		}

	}

}
