package dev.laneworks.core.follow;

import dev.laneworks.core.time.Timers;

/**
 * The one call to a store that a follower has open, or the time of the next one.
 * <p>
 * Calls are numbered: what concerns a call that is over, be it an answer or a time limit,
 * is known by its number and passed over. Not thread-safe.
 */
final class CallSlot {

	private static final long NONE = -1;

	private final Timers timers;

	private long number;

	private boolean open;

	/** When the next call is due, while none is open. */
	private long nextDue;

	/** The number of the last watch. */
	private long watch = NONE;

	/** The number of the last call of which an answer arrived that is still read. */
	private long arrived = NONE;

	/** When a part of the open call's answer arrived last, or the call began. */
	private long progressAt;

	private long watchedAt;

	private long watchWait;

	CallSlot(Timers timers) {
		this.timers = timers;
	}

	long number() {
		return this.number;
	}

	boolean isOpen() {
		return this.open;
	}

	// When the last watch began, in milliseconds.
	long watchedAt() {
		return this.watchedAt;
	}

	/**
	 * Begin a call, in place of one that may be open.
	 * <p>
	 * A call whose answer goes on arriving is not over however long it takes: given up,
	 * it would begin from its first byte again, and a large answer would never be whole.
	 * @param answerDue when its time is over, in milliseconds
	 * @param partMillis how long the next part of an answer may take that has begun to
	 * arrive, in milliseconds
	 * @param overdue what is done when either time is over, unless the call has ended
	 * @param now the time in milliseconds
	 * @return its number
	 */
	long begin(long answerDue, long partMillis, Timers.TimedAction overdue, long now) {
		this.number++;
		this.open = true;
		this.progressAt = now;
		endAt(answerDue, partMillis, overdue, this.number);
		return this.number;
	}

	private void endAt(long due, long partMillis, Timers.TimedAction overdue, long begun) {
		this.timers.at(due, (t) -> {
			boolean isOver = begun != this.number || !this.open;
			if (isOver) {
				return;
			}
			long partDue = this.progressAt + partMillis;
			if (partDue > t) {
				endAt(partDue, partMillis, overdue, begun);
				return;
			}
			overdue.run(t);
		});
	}

	/**
	 * Take that a part of an answer has arrived.
	 * @param answered the number of the call
	 * @param now the time in milliseconds
	 */
	void progressed(long answered, long now) {
		if (answered == this.number) {
			this.progressAt = now;
		}
	}

	/**
	 * Take that the call that has just begun is a watch.
	 * @param waitMillis how long it may be held, in milliseconds
	 * @param now the time in milliseconds
	 */
	void watches(long waitMillis, long now) {
		this.watch = this.number;
		this.watchWait = waitMillis;
		this.watchedAt = now;
	}

	/**
	 * Take that a call has ended.
	 * @param ended its number
	 * @param now the time in milliseconds
	 * @return {@code false} if that call was over
	 */
	boolean end(long ended, long now) {
		if (ended != this.number || !this.open) {
			return false;
		}
		this.open = false;
		this.nextDue = now;
		return true;
	}

	// The content of an answer to a call is being read.
	void arrived(long answered) {
		this.arrived = answered;
	}

	/**
	 * Return whether a watch is open of which nothing was heard for a time.
	 * @param millis the time in milliseconds
	 * @param now the time in milliseconds
	 * @return {@code false} also where its answer is being read
	 */
	boolean isWatchUnheard(long millis, long now) {
		boolean isWatch = this.open && this.watch == this.number;
		return isWatch && this.arrived != this.number && now - this.progressAt >= millis;
	}

	// Whether the open call has had the time that a watch may take, and more, and no part
	// of its answer arrived in that.
	boolean isPastWait(long moreMillis, long now) {
		return this.open && now > Math.max(this.watchedAt + this.watchWait, this.progressAt) + moreMillis;
	}

	/**
	 * Do something later, unless a call has begun by then.
	 * @param due when, in milliseconds
	 * @param action what to do
	 */
	void later(long due, Timers.TimedAction action) {
		long before = this.number;
		this.nextDue = due;
		this.timers.at(due, (t) -> {
			if (before == this.number && !this.open) {
				action.run(t);
			}
		});
	}

	// Whether no call is open and the next one should have begun for a time.
	boolean isForgotten(long millis, long now) {
		return !this.open && now - this.nextDue >= millis;
	}

}
