package dev.laneworks.core.dispatch;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.backpressure.BackpressureSignals;
import dev.laneworks.core.verdict.AnswerMeaning;

/**
 * Head of an answer, parsed from the protocol of the target.
 *
 * @param status the HTTP status code
 * @param requestId the id of the request that the target answers, or empty text
 * @param digested whether the answer carries a digest of its body
 * @param encoded whether the body has a content encoding, which is never requested
 * @param notRun whether the target states that it did not execute the request
 * @param events whether the body is a stream of events
 * @param load the load that the target reports, if any
 * @param malformedLoad whether the target sent a load report that cannot be read
 * @param coldMillis the remaining time in milliseconds for which the target is cold, if
 * it reports one
 * @param signals the back-pressure signals of the target
 * @since 0.2
 */
public record AnswerHead(int status, String requestId, boolean digested, boolean encoded, boolean notRun,
		boolean events, Optional<TargetLoad> load, boolean malformedLoad, OptionalLong coldMillis,
		BackpressureSignals signals) {

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECT = 300;

	/** HTTP status of a target that received a request for another one. */
	private static final int MISDIRECTED = 421;

	public AnswerHead {
		Objects.requireNonNull(requestId, "requestId must not be null");
		Objects.requireNonNull(load, "load must not be null");
		Objects.requireNonNull(coldMillis, "coldMillis must not be null");
		Objects.requireNonNull(signals, "signals must not be null");
	}

	/**
	 * Create the head of an answer without a malformed load report.
	 * @param status the HTTP status code
	 * @param requestId the id of the request that the target answers, or empty text
	 * @param digested whether the answer carries a digest of its body
	 * @param encoded whether the body has a content encoding
	 * @param notRun whether the target states that it did not execute the request
	 * @param events whether the body is a stream of events
	 * @param load the load that the target reports, if any
	 * @param coldMillis the remaining time in milliseconds for which the target is cold
	 * @param signals the back-pressure signals of the target
	 */
	public AnswerHead(int status, String requestId, boolean digested, boolean encoded, boolean notRun, boolean events,
			Optional<TargetLoad> load, OptionalLong coldMillis, BackpressureSignals signals) {
		this(status, requestId, digested, encoded, notRun, events, load, false, coldMillis, signals);
	}

	/**
	 * Determine whether the request succeeded.
	 * @return {@code true} for a status from 200 to 299
	 */
	public boolean isSuccess() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECT;
	}

	/**
	 * Return what the answer proves about the execution of its request.
	 * @return the meaning of status and statement
	 * @since 0.8
	 */
	public AnswerMeaning meaning() {
		return AnswerMeaning.of(this.status, this.notRun);
	}

	/**
	 * Determine whether the request reached a target other than the intended one.
	 * @return {@code true} for status 421
	 */
	public boolean isMisdirected() {
		return this.status == MISDIRECTED;
	}

	/**
	 * Determine whether the target states that it did not execute the request.
	 * @return {@code true} if the request can be sent to another target without the risk
	 * of a second execution
	 */
	public boolean saysNotRun() {
		return meaning() == AnswerMeaning.NOT_RUN;
	}

	/**
	 * Determine whether the signals in the answer apply to the intended target. They do
	 * not if the answer belongs to another request or is from another target at the same
	 * address.
	 * @param id the id of the request
	 * @return {@code true} if the load and back-pressure signals may be recorded
	 */
	public boolean appliesToTarget(String id) {
		return !isMisdirected() && (this.requestId.isEmpty() || this.requestId.equals(id));
	}

	/**
	 * Determine whether this is a valid answer to a request.
	 * @param id the id of the request
	 * @return {@code false} if the answer belongs to another request, is encoded,
	 * contradicts itself, or is a success without a digest
	 */
	public boolean isValidAnswerTo(String id) {
		if (this.encoded || meaning() == AnswerMeaning.CONTRADICTION
				|| (!this.requestId.isEmpty() && !this.requestId.equals(id))) {
			return false;
		}
		return !isSuccess() || (this.digested && this.requestId.equals(id));
	}

}
