package dev.laneworks.entry.direct;

import java.util.Optional;

import dev.laneworks.core.dispatch.GenerationSize;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.RouteSpec;

/**
 * Graceful shutdown of the process: the time of the request, and which calls can still
 * finish.
 * <p>
 * Callers keep connections and the load balancer reacts late, so requests still arrive
 * after the shutdown request. Later ones are accepted only if the time left is
 * sufficient; the others are rejected as not executed, so that callers retry at another
 * entry.
 * <p>
 * The sender of the signal counts the grace period from its sending, and a paused process
 * receives the signal late. Acceptance is therefore judged by the earliest time at which
 * the signal may have been sent. Calls in progress continue until the grace period
 * counted from its receipt ends.
 */
final class GracefulShutdown {

	/** Upper estimate of the generation time per token on a loaded engine. */
	private static final long MAX_TOKEN_MILLIS = 11;

	/** Latency goals allowed for a request that generates no tokens. */
	private static final long GOALS_PER_ANSWER = 3;

	private static final long NOT_REQUESTED = Long.MIN_VALUE;

	private final long acceptAllMillis;

	private final long graceMillis;

	// Both are written by the signal thread and read by the I/O thread; the request is
	// visible once the second is set.
	private volatile long earliestSentAt = NOT_REQUESTED;

	private volatile long requestedAt = NOT_REQUESTED;

	private volatile boolean isComplete;

	/**
	 * Create a shutdown that is not yet requested.
	 * @param acceptAllMillis the time after the request during which all requests are
	 * accepted, in milliseconds
	 * @param graceMillis the time from the request to the end of the process, in
	 * milliseconds
	 */
	GracefulShutdown(long acceptAllMillis, long graceMillis) {
		this.acceptAllMillis = acceptAllMillis;
		this.graceMillis = graceMillis;
	}

	/**
	 * Record the request to shut down.
	 * @param receivedAt when the signal was received, in milliseconds
	 * @param earliestSentAt the earliest time at which the signal may have been sent, in
	 * milliseconds
	 */
	void request(long receivedAt, long earliestSentAt) {
		this.earliestSentAt = earliestSentAt;
		this.requestedAt = receivedAt;
	}

	// Return by how much the signal may be older than its receipt, in milliseconds.
	long maxSignalAgeMillis() {
		return this.requestedAt - this.earliestSentAt;
	}

	// Reject all further requests, since the process exits.
	void complete() {
		this.isComplete = true;
	}

	boolean isRequested() {
		return this.requestedAt != NOT_REQUESTED;
	}

	/**
	 * Determine whether a request can be accepted.
	 * @param route the route of the request
	 * @param size the size of the generation; empty for a plain service
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code false} if the process is likely to end before the answer is complete
	 */
	boolean canFinish(RouteSpec route, Optional<GenerationSize> size, long now) {
		if (this.isComplete) {
			return false;
		}
		if (!isRequested() || now - this.earliestSentAt < this.acceptAllMillis) {
			return true;
		}
		return isTimeSufficient(route, size, now);
	}

	/**
	 * Determine whether a request that starts now completes before the process ends.
	 * @param route the route of the request
	 * @param size the size of the generation; empty for a plain service
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code false} if the process is likely to end before the answer is complete
	 */
	boolean isTimeSufficient(RouteSpec route, Optional<GenerationSize> size, long now) {
		if (!isRequested()) {
			return true;
		}
		long remainingMillis = this.earliestSentAt + this.graceMillis - now;
		return expectedMillis(route, size) <= remainingMillis;
	}

	private static long expectedMillis(RouteSpec route, Optional<GenerationSize> size) {
		if (route.kind() != RequestKind.STREAMING) {
			return GOALS_PER_ANSWER * route.goalMillis();
		}
		return route.goalMillis() + size.map((s) -> MAX_TOKEN_MILLIS * s.maxTokens()).orElse(route.timeoutMillis());
	}

}
