package dev.laneworks.core.waiting;

import java.util.Objects;

import dev.laneworks.core.serving.AllowedRegions;

/**
 * Generation that waits for engine memory, with the facts that decide its place.
 * <p>
 * All of them are fixed at its arrival, so that a generation which an engine did not
 * execute returns to its former place.
 *
 * @param call the number of its call
 * @param priority the priority, 0 being the highest; that of the client account if it has
 * one
 * @param routePriority the priority of its route, which decides between requests of
 * client accounts of the same priority and in how much memory it may start
 * @param account the client account, or empty text
 * @param regions the regions in which it may be served
 * @param memoryTokens the engine memory that it reserves at its start, in tokens
 * @param expectedTokens the number of tokens that it is expected to generate
 * @param arrivedAt the time of its arrival in milliseconds of the monotonic clock
 * @param firstArrivalAt the estimated time of the first arrival of the same request,
 * earlier than {@code arrivedAt} if the caller was refused before and returned
 * @param goalMillis the latency goal of the first event in milliseconds
 * @param dueAt the deadline of the answer in milliseconds of the monotonic clock
 * @since 0.4
 */
public record QueuedGeneration(long call, int priority, int routePriority, String account, AllowedRegions regions,
		long memoryTokens, long expectedTokens, long arrivedAt, long firstArrivalAt, long goalMillis, long dueAt) {

	/** Part of the time left on arrival for which a generation waits at most. */
	private static final double MAX_WAIT_SHARE = 0.5;

	/**
	 * Longest wait in multiples of the goal. Callers of streams give up after four goals
	 * without an event, and the first event takes up to one goal from the start.
	 */
	private static final double MAX_WAIT_GOALS = 2.5;

	public QueuedGeneration {
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(regions, "regions must not be null");
	}

	/**
	 * Create a generation whose client account has no priority of its own.
	 * @param call the number of its call
	 * @param priority the priority of its route, 0 being the highest
	 * @param account the client account
	 * @param regions the regions in which it may be served
	 * @param memoryTokens the memory that it needs to start, in tokens
	 * @param expectedTokens the tokens that it is expected to generate
	 * @param arrivedAt the time of its arrival in milliseconds of the monotonic clock
	 * @param firstArrivalAt the estimated time of its first arrival
	 * @param goalMillis the goal for its first event, in milliseconds
	 * @param dueAt the deadline in milliseconds of the monotonic clock
	 */
	public QueuedGeneration(long call, int priority, String account, AllowedRegions regions, long memoryTokens,
			long expectedTokens, long arrivedAt, long firstArrivalAt, long goalMillis, long dueAt) {
		this(call, priority, priority, account, regions, memoryTokens, expectedTokens, arrivedAt, firstArrivalAt,
				goalMillis, dueAt);
	}

	/**
	 * Determine whether the caller was refused before and returned.
	 * @return {@code true} if the first arrival was earlier than this one
	 */
	public boolean isReturned() {
		return this.firstArrivalAt < this.arrivedAt;
	}

	/**
	 * Return the time by which the first event is to be sent.
	 * @return the time in milliseconds of the monotonic clock
	 */
	public long goalAt() {
		return this.firstArrivalAt + this.goalMillis;
	}

	/**
	 * Return the time until which the generation may wait.
	 * @return the time in milliseconds of the monotonic clock
	 */
	public long waitsUntil() {
		double millis = Math.min(MAX_WAIT_SHARE * (this.dueAt - this.arrivedAt), MAX_WAIT_GOALS * this.goalMillis);
		return this.arrivedAt + Math.round(millis);
	}

	/**
	 * Determine whether another generation behind this one must wait as well if this one
	 * finds no memory. A more urgent route may use memory that this one may not.
	 * @param behind a generation that comes later in the order
	 * @return {@code true} if it may start in the same memory only
	 */
	public boolean holdsBack(QueuedGeneration behind) {
		return this.regions.equals(behind.regions) && this.routePriority <= behind.routePriority;
	}

}
