package dev.laneworks.core.follow;

import java.util.OptionalLong;

/**
 * Tracks how long a process has lacked changes that others have, and how long its watch
 * may take to return them.
 * <p>
 * Not thread-safe.
 */
final class LagTracker {

	/**
	 * How long a watch may stay idle although others have a newer revision, in
	 * milliseconds.
	 */
	static final long OVERDUE_MILLIS = 300;

	/**
	 * The maximum doublings of that time for consecutive overdue watches. They give a
	 * busy link time to send a large answer to all processes.
	 */
	private static final int MAX_DOUBLINGS = 4;

	/** The highest revision reported by others. */
	private long highestReported = Long.MIN_VALUE;

	/** When this process fell behind that revision, in milliseconds. */
	private long behindSince;

	/** Whether this process fell behind and has not caught up since. */
	private boolean isLagReported;

	/** The number of the last watch that was expected to return a change. */
	private long expectedWatch = -1;

	private int consecutiveOverdue;

	/**
	 * Record that another process has a newer revision.
	 * @param reported the revision of the other process
	 * @param known the revision known to this process
	 * @param now the current time in milliseconds
	 * @return {@code true} if this process was not behind before
	 */
	boolean recordAhead(long reported, long known, long now) {
		boolean isNew = known >= this.highestReported;
		if (isNew) {
			this.behindSince = now;
			this.isLagReported = true;
		}
		this.highestReported = Math.max(this.highestReported, reported);
		return isNew;
	}

	boolean isBehind(long known) {
		return known < this.highestReported;
	}

	/**
	 * Return how long this process has been behind others.
	 * @param known the revision known to this process
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds; 0 if it is not behind
	 */
	long lagMillis(long known, long now) {
		return isBehind(known) ? now - this.behindSince : 0;
	}

	/**
	 * Record the revision known to this process.
	 * @param known the revision
	 * @param now the current time in milliseconds
	 * @return how long this process was behind, in milliseconds; empty unless it has just
	 * caught up
	 */
	OptionalLong recordCaughtUp(long known, long now) {
		if (!this.isLagReported || known < this.highestReported) {
			return OptionalLong.empty();
		}
		this.isLagReported = false;
		return OptionalLong.of(now - this.behindSince);
	}

	// Returns whether the watch was not yet expected to return a change.
	boolean startExpecting(long watch) {
		boolean isNew = this.expectedWatch != watch;
		this.expectedWatch = watch;
		return isNew;
	}

	// How long the current watch may stay idle, in milliseconds.
	long overdueMillis() {
		return OVERDUE_MILLIS << Math.min(this.consecutiveOverdue, MAX_DOUBLINGS);
	}

	// Returns the number of consecutive overdue watches.
	int recordOverdue() {
		this.consecutiveOverdue++;
		return this.consecutiveOverdue;
	}

	void resetOverdue() {
		this.consecutiveOverdue = 0;
	}

}
