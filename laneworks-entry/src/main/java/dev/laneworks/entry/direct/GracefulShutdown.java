package dev.laneworks.entry.direct;

import java.util.Optional;

import dev.laneworks.core.dispatch.GenerationSize;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.RouteSpec;

/**
 * Order of a planned stop, from the request to stop to the point at which the process may
 * exit.
 * <ol>
 * <li>{@link Phase#SERVING}: nothing was requested.</li>
 * <li>{@link Phase#STOPPING}: the readiness check fails. Requests are still read, since
 * callers keep connections and the load balancer reacts late; those that may not end in
 * time are rejected as not executed, so that callers retry at another entry. Each answer
 * closes its connection.</li>
 * <li>{@link Phase#ENDING}: no connection is accepted any more and no further request is
 * read; connections without a request are closed. Requests that are still arriving are
 * rejected, and calls in progress that the grace period cuts off get a final answer.</li>
 * <li>{@link Phase#ENDED}: all answers are written and all connections are closed.</li>
 * </ol>
 * <p>
 * The sender of the signal counts the grace period from its sending, and a paused process
 * receives the signal late. Acceptance is therefore judged by the earliest time at which
 * the signal may have been sent. Calls in progress continue until the grace period
 * counted from its receipt ends.
 */
final class GracefulShutdown {

	/**
	 * Time for which the load balancer may still send new connections after readiness
	 * ends: it polls every second and acts on the second failure.
	 */
	private static final long BALANCER_DRAIN_MILLIS = 3_000;

	/** Time before the end of the grace period that is left for the exit. */
	private static final long EXIT_MILLIS = 250;

	/** Time for writing the answers to all calls that are still in progress. */
	private static final long LAST_ANSWERS_MILLIS = 150;

	/** Consecutive polls without a request after which the process may end. */
	private static final int IDLE_POLLS = 5;

	/**
	 * Interval between two polls above which the process did not run in between. What
	 * arrived meanwhile, requests and answers, is read after the second one.
	 */
	private static final long MAX_POLL_INTERVAL_MILLIS = 50;

	/** Upper estimate of the generation time per token on a loaded engine. */
	private static final long MAX_TOKEN_MILLIS = 11;

	/** Latency goals allowed for a request that generates no tokens. */
	private static final long GOALS_PER_ANSWER = 3;

	private static final long NOT_REQUESTED = Long.MIN_VALUE;

	private final long acceptAllMillis;

	/** Time after the signal at which all connections are closed. */
	private final long closeMillis;

	/** Time after the signal at which calls in progress get their final answer. */
	private final long lastAnswersMillis;

	// Both are written by the signal thread and read by the I/O thread; the request is
	// visible once the second is set.
	private volatile long earliestSentAt = NOT_REQUESTED;

	private volatile long requestedAt = NOT_REQUESTED;

	/** Written on the I/O thread alone. */
	private volatile Phase phase = Phase.SERVING;

	private int idlePolls;

	private long polledAt;

	/**
	 * Create a shutdown that is not yet requested.
	 * @param acceptAllMillis the time after the request during which all requests are
	 * accepted, in milliseconds
	 * @param graceMillis the time from the sending of the signal to the end of the
	 * process, in milliseconds
	 */
	GracefulShutdown(long acceptAllMillis, long graceMillis) {
		this.acceptAllMillis = acceptAllMillis;
		this.closeMillis = graceMillis - EXIT_MILLIS;
		this.lastAnswersMillis = this.closeMillis - LAST_ANSWERS_MILLIS;
	}

	/**
	 * Record the request to shut down; only the first one has an effect.
	 * @param receivedAt when the signal was received, in milliseconds
	 * @param earliestSentAt the earliest time at which the signal may have been sent, in
	 * milliseconds
	 * @return {@code true} if this is the first request
	 */
	synchronized boolean request(long receivedAt, long earliestSentAt) {
		if (isRequested()) {
			return false;
		}
		this.earliestSentAt = earliestSentAt;
		this.requestedAt = receivedAt;
		return true;
	}

	// Return by how much the signal may be older than its receipt, in milliseconds.
	long maxSignalAgeMillis() {
		return this.requestedAt - this.earliestSentAt;
	}

	boolean isRequested() {
		return this.requestedAt != NOT_REQUESTED;
	}

	// Determine whether all requests are rejected, since the process is about to exit.
	boolean isEnding() {
		return this.phase == Phase.ENDING || this.phase == Phase.ENDED;
	}

	// Determine whether the process may exit.
	boolean isEnded() {
		return this.phase == Phase.ENDED;
	}

	/**
	 * Take the steps that are due. To be called at short intervals on the I/O thread once
	 * a stop was requested.
	 * @param work the work of the process
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void poll(Work work, long now) {
		if (this.phase == Phase.SERVING) {
			this.phase = Phase.STOPPING;
		}
		if (this.phase == Phase.STOPPING) {
			findEndCause(work, now).ifPresent((cause) -> {
				this.phase = Phase.ENDING;
				work.stopReading(cause);
				work.endCalls(now);
			});
		}
		if (this.phase == Phase.ENDING) {
			work.closeIdleConnections();
			if (work.unanswered() == 0 || now - this.requestedAt >= this.closeMillis) {
				this.phase = Phase.ENDED;
				work.closeConnections();
			}
		}
	}

	private Optional<String> findEndCause(Work work, long now) {
		if (!work.isReading()) {
			return Optional.of("no request was read yet");
		}
		boolean isLate = now - this.polledAt > MAX_POLL_INTERVAL_MILLIS;
		this.polledAt = now;
		this.idlePolls = (work.unanswered() == 0 && !isLate) ? this.idlePolls + 1 : 0;
		if (!isLate && now - this.requestedAt >= this.lastAnswersMillis) {
			return Optional.of("the grace period is over");
		}
		boolean isIdle = this.idlePolls >= IDLE_POLLS && now - this.requestedAt >= BALANCER_DRAIN_MILLIS;
		return isIdle ? Optional.of("all requests are answered") : Optional.empty();
	}

	/**
	 * Determine whether a request can be accepted.
	 * @param maxMillis the longest time that the request may take, in milliseconds
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code false} if the process may end before the answer is complete
	 */
	boolean canFinish(long maxMillis, long now) {
		if (isEnding()) {
			return false;
		}
		return !isRequested() || now - this.earliestSentAt < this.acceptAllMillis || maxMillis <= remainingMillis(now);
	}

	/**
	 * Determine whether a request that was accepted and starts now is expected to
	 * complete before the process ends.
	 * @param route the route of the request
	 * @param size the size of the generation; empty for a plain service
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code false} if the process is likely to end before the answer is complete
	 */
	boolean isTimeSufficient(RouteSpec route, Optional<GenerationSize> size, long now) {
		return !isRequested() || expectedMillis(route, size) <= remainingMillis(now);
	}

	private long remainingMillis(long now) {
		return this.earliestSentAt + this.lastAnswersMillis - now;
	}

	private static long expectedMillis(RouteSpec route, Optional<GenerationSize> size) {
		if (route.kind() != RequestKind.STREAMING) {
			return GOALS_PER_ANSWER * route.goalMillis();
		}
		return route.goalMillis() + size.map((s) -> MAX_TOKEN_MILLIS * s.maxTokens()).orElse(route.timeoutMillis());
	}

	/** Step of the shutdown. */
	private enum Phase {

		SERVING,

		STOPPING,

		ENDING,

		ENDED

	}

	/** Work of the process that a stop ends. */
	interface Work {

		/**
		 * Determine whether requests are read.
		 * @return {@code false} until the start is complete
		 */
		boolean isReading();

		/**
		 * Return the number of requests that were read, at least in part, and have no
		 * complete answer.
		 * @return the number of requests
		 */
		int unanswered();

		/**
		 * Accept no further connections, and reject the requests that are still arriving
		 * or waiting.
		 * @param cause why the process ends now
		 */
		void stopReading(String cause);

		/**
		 * Answer the calls in progress: those that may have been executed with a failure,
		 * the others as not executed. Streams that have begun are cut.
		 * @param now the current time in milliseconds of the monotonic clock
		 */
		void endCalls(long now);

		/**
		 * Close the connections from which no part of a request was read since their last
		 * answer.
		 */
		void closeIdleConnections();

		/**
		 * Close all connections.
		 */
		void closeConnections();

	}

}
