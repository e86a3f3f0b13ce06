package dev.laneworks.entry.direct;

import java.util.Optional;

import dev.laneworks.core.dispatch.EngineWork;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.RouteSpec;

/**
 * The planned stop of a process: when it was ordered, and what can still be served to its
 * end.
 * <p>
 * Requests come for a while after the order, since callers keep connections and the
 * balancer hears of the stop late. Later ones are taken only where the time left is
 * enough for them; the others have not run and are told to come back, elsewhere.
 * <p>
 * Whoever gives the order counts from when it is given. A process that was held up hears
 * it late: one that heard it two seconds late would take a stream of 2,224 tokens 4.55 s
 * behind the order, and be killed under it 3.45 s later. What is taken is judged by the
 * earliest time at which the order may have been given; what runs goes on until the
 * latest.
 */
final class PlannedStop {

	/**
	 * What a token takes at the most, in milliseconds: 7 ms a step and 0.12 ms for each
	 * of a dozen requests beside it, and prompts that are read meanwhile.
	 */
	private static final long TOKEN_MILLIS = 11;

	/** How many goals a request without tokens is given; its answer takes one or two. */
	private static final long GOALS = 3;

	private static final long NOT_ORDERED = Long.MIN_VALUE;

	private final long takeAllMillis;

	private final long graceMillis;

	// Both are written by the thread of the signal and read by the I/O thread; the order
	// counts once the second is set.
	private volatile long earliest = NOT_ORDERED;

	private volatile long orderedAt = NOT_ORDERED;

	/**
	 * Create a stop that is not ordered.
	 * @param takeAllMillis how long after the order all requests are taken, in
	 * milliseconds
	 * @param graceMillis the time from the order to the end of the process, in
	 * milliseconds
	 */
	PlannedStop(long takeAllMillis, long graceMillis) {
		this.takeAllMillis = takeAllMillis;
		this.graceMillis = graceMillis;
	}

	/**
	 * Take the order to stop.
	 * @param heardAt when it was heard, in milliseconds
	 * @param earliest when it may have been given at the earliest, in milliseconds
	 */
	void order(long heardAt, long earliest) {
		this.earliest = earliest;
		this.orderedAt = heardAt;
	}

	// By how much the order may be older than it seems, in milliseconds.
	long uncertainMillis() {
		return this.orderedAt - this.earliest;
	}

	boolean isOrdered() {
		return this.orderedAt != NOT_ORDERED;
	}

	/**
	 * Return whether a request may be taken.
	 * @param route its route
	 * @param work what it asks of an engine, if it does
	 * @param now the time in milliseconds
	 * @return {@code false} if the process is likely to end before the answer does
	 */
	boolean leavesTimeFor(RouteSpec route, Optional<EngineWork> work, long now) {
		if (!isOrdered() || now - this.earliest < this.takeAllMillis) {
			return true;
		}
		long left = this.earliest + this.graceMillis - now;
		return needed(route, work) <= left;
	}

	private static long needed(RouteSpec route, Optional<EngineWork> work) {
		if (route.kind() != RequestKind.STREAMING) {
			return GOALS * route.goalMillis();
		}
		return route.goalMillis() + work.map((w) -> TOKEN_MILLIS * w.maxTokens()).orElse(route.timeoutMillis());
	}

}
