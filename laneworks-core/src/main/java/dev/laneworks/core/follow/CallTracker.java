package dev.laneworks.core.follow;

import dev.laneworks.core.time.Timers;

/**
 * Tracks a follower's only open call to the store, or the time of its next one.
 * <p>
 * Calls are numbered, so that an answer or a timeout of an earlier call is ignored. Not
 * thread-safe.
 */
final class CallTracker {

	private static final long NONE = -1;

	private final Timers timers;

	private long number;

	private boolean open;

	/** When the next call is due if none is open, in milliseconds. */
	private long nextCallDue;

	private long lastWatch = NONE;

	/** The number of the last call whose answer arrived and is being parsed. */
	private long arrived = NONE;

	/**
	 * When the open call started or last received a part of its answer, in milliseconds.
	 */
	private long progressAt;

	/** When the open call started, in milliseconds. */
	private long startedAt;

	/** When the first part of the open call's answer arrived, in milliseconds. */
	private long firstPartAt = NONE;

	/** The total time in which this process was late, in milliseconds. */
	private long totalLatenessMillis;

	/** That time at the start or the last part of the open call's answer. */
	private long latenessAtProgress;

	private long watchStartedAt;

	private long watchWaitMillis;

	CallTracker(Timers timers) {
		this.timers = timers;
	}

	long number() {
		return this.number;
	}

	boolean isOpen() {
		return this.open;
	}

	long watchStartedAt() {
		return this.watchStartedAt;
	}

	/**
	 * Begin a call, in place of any open one.
	 * <p>
	 * The timeout is extended while parts of the answer arrive. Otherwise a large answer
	 * would be restarted from its first byte repeatedly. It is also extended once by the
	 * time in which this process was late, since the answer may wait to be read.
	 * @param answerDue when the call times out, in milliseconds
	 * @param partMillis how long each further part of the answer may take, in
	 * milliseconds
	 * @param overdue runs at the timeout, unless the call has ended
	 * @param now the current time in milliseconds
	 * @return the number of the call
	 */
	long begin(long answerDue, long partMillis, Timers.TimedAction overdue, long now) {
		this.number++;
		this.open = true;
		this.startedAt = now;
		this.firstPartAt = NONE;
		this.progressAt = now;
		this.latenessAtProgress = this.totalLatenessMillis;
		long before = this.totalLatenessMillis;
		long started = this.number;
		scheduleTimeout(answerDue, partMillis, (t) -> {
			long lateMillis = Math.min(partMillis, this.totalLatenessMillis - before);
			if (lateMillis > 0) {
				scheduleTimeout(t + lateMillis, partMillis, overdue, started);
			}
			else {
				overdue.run(t);
			}
		}, started);
		return this.number;
	}

	private void scheduleTimeout(long due, long partMillis, Timers.TimedAction overdue, long started) {
		this.timers.schedule(due, (t) -> {
			boolean isOver = started != this.number || !this.open;
			if (isOver) {
				return;
			}
			long partDue = this.progressAt + partMillis;
			if (partDue > t) {
				scheduleTimeout(partDue, partMillis, overdue, started);
				return;
			}
			overdue.run(t);
		});
	}

	/**
	 * Record that a part of an answer has arrived.
	 * @param answered the number of the call
	 * @param now the current time in milliseconds
	 */
	void recordProgress(long answered, long now) {
		if (answered == this.number) {
			this.firstPartAt = (this.firstPartAt == NONE) ? now : this.firstPartAt;
			this.progressAt = now;
			this.latenessAtProgress = this.totalLatenessMillis;
		}
	}

	/**
	 * Record that this process was late.
	 * @param millis the time in milliseconds
	 */
	void recordLateness(long millis) {
		this.totalLatenessMillis += millis;
	}

	/**
	 * Mark the open call as a watch.
	 * @param waitMillis how long the store may hold it, in milliseconds
	 * @param now the current time in milliseconds
	 */
	void markWatch(long waitMillis, long now) {
		this.lastWatch = this.number;
		this.watchWaitMillis = waitMillis;
		this.watchStartedAt = now;
	}

	/**
	 * End a call.
	 * @param ended the number of the call
	 * @param now the current time in milliseconds
	 * @return {@code false} if that call had ended before
	 */
	boolean end(long ended, long now) {
		if (ended != this.number || !this.open) {
			return false;
		}
		this.open = false;
		this.nextCallDue = now;
		return true;
	}

	void markArrived(long answered) {
		this.arrived = answered;
	}

	/**
	 * Determine whether a watch is open and has received nothing for a time.
	 * @param millis the time in milliseconds
	 * @param now the current time in milliseconds
	 * @return {@code false} also while its answer is being parsed
	 */
	boolean isWatchIdle(long millis, long now) {
		return this.lastWatch == this.number && isIdle(millis, now);
	}

	// Whether any call is open and has received nothing for a time, without that in
	// which this process was late.
	boolean isIdle(long millis, long now) {
		long lateMillis = this.totalLatenessMillis - this.latenessAtProgress;
		return this.open && this.arrived != this.number && now - this.progressAt - lateMillis >= millis;
	}

	long startedAt() {
		return this.startedAt;
	}

	/**
	 * Determine whether the answer to the open call is arriving or being parsed.
	 * @param millis the longest time since its last part, in milliseconds
	 * @param now the current time in milliseconds
	 * @return {@code false} if nothing has arrived recently
	 */
	boolean isReceiving(long millis, long now) {
		boolean isArriving = this.firstPartAt != NONE && now - this.progressAt < millis;
		return this.open && (isArriving || this.arrived == this.number);
	}

	// Whether the answer to the open call began to arrive some time ago.
	boolean isLargeAnswerArriving(long millis, long now) {
		return this.open && this.firstPartAt != NONE && now - this.firstPartAt >= millis;
	}

	// Whether the open call exceeds the wait of the last watch by the given time
	// without receiving a part of an answer.
	boolean isWatchOverdue(long moreMillis, long now) {
		return this.open && now > Math.max(this.watchStartedAt + this.watchWaitMillis, this.progressAt) + moreMillis;
	}

	/**
	 * Schedule an action, which is skipped if a call has begun by then.
	 * @param due when the action is due, in milliseconds
	 * @param action the action to run
	 */
	void schedule(long due, Timers.TimedAction action) {
		long before = this.number;
		this.nextCallDue = due;
		this.timers.schedule(due, (t) -> {
			if (before == this.number && !this.open) {
				action.run(t);
			}
		});
	}

	// Whether no call is open and the next one is overdue by the given time.
	boolean isNextCallOverdue(long millis, long now) {
		return !this.open && now - this.nextCallDue >= millis;
	}

}
