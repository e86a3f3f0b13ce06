package dev.laneworks.core.verdict;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The final answer to a request that is not served, or not served to its end.
 *
 * @param verdict whether the request may have run
 * @param reason why it was refused
 * @param detail one sentence for the caller's operator
 * @param retryAfter when coming back may help, if it may
 * @since 0.1
 */
public record Refusal(Verdict verdict, RefusalReason reason, String detail, Optional<Duration> retryAfter) {

	public Refusal {
		Objects.requireNonNull(verdict, "verdict must not be null");
		Objects.requireNonNull(reason, "reason must not be null");
		Objects.requireNonNull(detail, "detail must not be null");
		Objects.requireNonNull(retryAfter, "retryAfter must not be null");
	}

	/**
	 * Create a refusal of a request that did not run.
	 * @param reason why it was refused
	 * @param detail one sentence for the caller's operator
	 * @param retryAfter when to come back
	 * @return the refusal
	 */
	public static Refusal notRun(RefusalReason reason, String detail, Duration retryAfter) {
		return new Refusal(Verdict.NOT_RUN, reason, detail, Optional.of(retryAfter));
	}

	/**
	 * Create a refusal of a request that did not run and would be refused again.
	 * @param reason why it was refused
	 * @param detail one sentence for the caller's operator
	 * @return the refusal
	 */
	public static Refusal never(RefusalReason reason, String detail) {
		return new Refusal(Verdict.NOT_RUN, reason, detail, Optional.empty());
	}

	/**
	 * Create a refusal of a request that may have run.
	 * @param reason why it was refused
	 * @param detail one sentence for the caller's operator
	 * @return the refusal
	 */
	public static Refusal mayHaveRun(RefusalReason reason, String detail) {
		return new Refusal(Verdict.MAY_HAVE_RUN, reason, detail, Optional.empty());
	}

	/**
	 * Create a clear end for a request that ran in part.
	 * @param reason why it ended
	 * @param detail one sentence for the caller's operator
	 * @return the refusal
	 */
	public static Refusal ran(RefusalReason reason, String detail) {
		return new Refusal(Verdict.RAN, reason, detail, Optional.empty());
	}

}
