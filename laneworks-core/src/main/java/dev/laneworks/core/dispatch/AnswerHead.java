package dev.laneworks.core.dispatch;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.backpressure.TargetNeeds;

/**
 * What an answer's head says, once translated from the target's protocol.
 *
 * @param status the status code
 * @param requestId the request that the target says it answers, or empty text
 * @param sealed whether the target's digest of the answer is there
 * @param encoded whether the body is encoded, which no caller asked for
 * @param notRun whether the target says that it did not run the request
 * @param events whether the body is a stream of events
 * @param load what the target tells of its load
 * @param coldMillis for how much longer the target is cold, in milliseconds, if it tells
 * @param needs what the target says that it needs
 * @since 0.2
 */
public record AnswerHead(int status, String requestId, boolean sealed, boolean encoded, boolean notRun, boolean events,
		Optional<TargetLoad> load, OptionalLong coldMillis, TargetNeeds needs) {

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECT = 300;

	private static final int FIRST_SERVER_ERROR = 500;

	/** The status by which a target says that a request is meant for another. */
	private static final int MISDIRECTED = 421;

	public AnswerHead {
		Objects.requireNonNull(requestId, "requestId must not be null");
		Objects.requireNonNull(load, "load must not be null");
		Objects.requireNonNull(coldMillis, "coldMillis must not be null");
		Objects.requireNonNull(needs, "needs must not be null");
	}

	/**
	 * Return whether the answer is a success.
	 * @return whether its status is from 200 to 299
	 */
	public boolean isSuccess() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECT;
	}

	/**
	 * Return whether the target failed.
	 * @return whether its status is 500 or above
	 */
	public boolean isServerError() {
		return this.status >= FIRST_SERVER_ERROR;
	}

	/**
	 * Return whether the target is another one than the one meant.
	 * @return whether its status says so
	 */
	public boolean isMisdirected() {
		return this.status == MISDIRECTED;
	}

	/**
	 * Return whether the target states that it did not run the request.
	 * @return whether another target may be asked without any risk
	 */
	public boolean saysNotRun() {
		return this.notRun || isMisdirected();
	}

	/**
	 * Return whether what the answer says of its sender is said of the target asked. One
	 * that is meant for another request, or comes from another target at the same
	 * address, says nothing of it.
	 * @param id the request
	 * @return whether the target itself speaks
	 */
	public boolean speaksForTarget(String id) {
		return !isMisdirected() && (this.requestId.isEmpty() || this.requestId.equals(id));
	}

	/**
	 * Return whether this can be the target's answer to a request.
	 * @param id the request
	 * @return {@code false} if it belongs to another request or was spoilt on its way
	 */
	public boolean answers(String id) {
		if (this.encoded || (!this.requestId.isEmpty() && !this.requestId.equals(id))) {
			return false;
		}
		return !isSuccess() || (this.sealed && this.requestId.equals(id));
	}

}
