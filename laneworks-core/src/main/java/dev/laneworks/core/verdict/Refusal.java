package dev.laneworks.core.verdict;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Final answer to a request that is not served, or not served completely.
 *
 * @param verdict whether the request may have run
 * @param reason the reason for the refusal
 * @param detail one sentence that explains the refusal to the caller's operator
 * @param retryAfter the delay before a retry, or empty if a retry is not recommended
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
	 * Create a refusal of a request that did not run and may be retried.
	 * @param reason the reason for the refusal
	 * @param detail one sentence that explains the refusal to the caller's operator
	 * @param retryAfter the delay before a retry
	 * @return a refusal with the verdict {@link Verdict#NOT_RUN}
	 */
	public static Refusal notRun(RefusalReason reason, String detail, Duration retryAfter) {
		return new Refusal(Verdict.NOT_RUN, reason, detail, Optional.of(retryAfter));
	}

	/**
	 * Create a refusal of a request that did not run and would be refused again.
	 * @param reason the reason for the refusal
	 * @param detail one sentence that explains the refusal to the caller's operator
	 * @return a refusal with the verdict {@link Verdict#NOT_RUN} and no retry delay
	 */
	public static Refusal permanent(RefusalReason reason, String detail) {
		return new Refusal(Verdict.NOT_RUN, reason, detail, Optional.empty());
	}

	/**
	 * Create a refusal of a request that may have run.
	 * @param reason the reason for the refusal
	 * @param detail one sentence that explains the refusal to the caller's operator
	 * @return a refusal with the verdict {@link Verdict#MAY_HAVE_RUN} and no retry delay
	 */
	public static Refusal mayHaveRun(RefusalReason reason, String detail) {
		return new Refusal(Verdict.MAY_HAVE_RUN, reason, detail, Optional.empty());
	}

	/**
	 * Create the final answer to a request that ran in part.
	 * @param reason the reason for the early end
	 * @param detail one sentence that explains the end to the caller's operator
	 * @return a refusal with the verdict {@link Verdict#RAN} and no retry delay
	 */
	public static Refusal ranInPart(RefusalReason reason, String detail) {
		return new Refusal(Verdict.RAN, reason, detail, Optional.empty());
	}

}
