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
	 * @param answerDue when its time is over, in milliseconds
	 * @param overdue what is done then, unless it has ended
	 * @return its number
	 */
	long begin(long answerDue, Timers.TimedAction overdue) {
		this.number++;
		this.open = true;
		long begun = this.number;
		this.timers.at(answerDue, (t) -> {
			if (begun == this.number && this.open) {
				overdue.run(t);
			}
		});
		return begun;
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
		return isWatch && this.arrived != this.number && now - this.watchedAt >= millis;
	}

	// Whether the open call has had the time that a watch may take, and more.
	boolean isPastWait(long moreMillis, long now) {
		return this.open && now > this.watchedAt + this.watchWait + moreMillis;
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
