package dev.laneworks.core.verdict;

import java.util.Set;

/**
 * What the complete answer of a target proves about the execution of its request.
 * <p>
 * Callers take some statuses for a promise that the request did not run. Only the
 * target's own statement proves that, or status 421, which states that the request
 * reached the wrong target (RFC 9110, section 15.5.20).
 *
 * @since 0.8
 */
public enum AnswerMeaning {

	/** The target states that it did not execute the request. */
	NOT_RUN,

	/** The target executed the request with this result. */
	RESULT,

	/** The target failed, and may have executed the request. */
	FAILURE,

	/** The status promises that the request did not run, but the target does not. */
	UNPROVED_PROMISE,

	/** The status is none of a rejection, and the target states that it rejected. */
	CONTRADICTION;

	private static final int FIRST_ERROR = 400;

	private static final int FIRST_SERVER_ERROR = 500;

	private static final int MISDIRECTED = 421;

	/** Request timeout, too many requests, service unavailable. */
	private static final Set<Integer> PROMISES = Set.of(408, 429, 503);

	/**
	 * Determine the meaning of an answer.
	 * @param status the HTTP status code
	 * @param statesNotRun whether the target states that it did not execute the request
	 * @return what the answer proves
	 */
	public static AnswerMeaning of(int status, boolean statesNotRun) {
		if (statesNotRun && status < FIRST_ERROR) {
			return CONTRADICTION;
		}
		if (statesNotRun || status == MISDIRECTED) {
			return NOT_RUN;
		}
		if (PROMISES.contains(status)) {
			return UNPROVED_PROMISE;
		}
		return (status >= FIRST_SERVER_ERROR) ? FAILURE : RESULT;
	}

	/**
	 * Determine whether the target did not do its work.
	 * @return {@code false} for a result, and for a request that was not executed
	 */
	public boolean isFailure() {
		return this == FAILURE || this == UNPROVED_PROMISE || this == CONTRADICTION;
	}

	/**
	 * Determine whether a caller may receive the answer as it is.
	 * @param repeatable whether the caller allows the request to run more than once, so
	 * that a wrong promise does no harm
	 * @return {@code false} if the caller must receive a refusal instead
	 */
	public boolean isDeliverable(boolean repeatable) {
		return switch (this) {
			case RESULT, FAILURE -> true;
			case UNPROVED_PROMISE -> repeatable;
			case NOT_RUN, CONTRADICTION -> false;
		};
	}

}
