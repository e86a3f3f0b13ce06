package dev.laneworks.core.follow;

/**
 * What a process knows that it lacks of a store because others are ahead of it, and how
 * long its watch is given to tell that.
 * <p>
 * Not thread-safe.
 */
final class Lag {

	/**
	 * After how long a watch is overdue that says nothing of a change others know of, in
	 * milliseconds; longer than the store takes for its first byte on bad days.
	 */
	static final long OVERDUE_MILLIS = 300;

	/**
	 * How often that time doubles at the most, for watches that were begun anew in a row:
	 * all processes ask for the same large answer at once, and each that begins again
	 * holds up the others.
	 */
	private static final int MOST_DOUBLINGS = 4;

	/** The highest revision that others told of while this process was behind it. */
	private long upTo = Long.MIN_VALUE;

	/** Since when it is behind that. */
	private long since;

	/** The number of the last watch that was to tell of a change known to others. */
	private long expectedOf = -1;

	/** How many watches were overdue in a row. */
	private int overdue;

	/**
	 * Take that others know more than this process.
	 * @param told the revision that they know
	 * @param known the revision that this process knows
	 * @param now the time in milliseconds
	 * @return whether it was not behind until now
	 */
	boolean heard(long told, long known, long now) {
		boolean isNew = known >= this.upTo;
		if (isNew) {
			this.since = now;
		}
		this.upTo = Math.max(this.upTo, told);
		return isNew;
	}

	/**
	 * Return for how long this process has been behind others.
	 * @param known the revision that it knows
	 * @param now the time in milliseconds
	 * @return milliseconds; 0 if it is not
	 */
	long millis(long known, long now) {
		return (known < this.upTo) ? now - this.since : 0;
	}

	// Whether a watch is to tell from now on, which was not expected of it before.
	boolean expects(long watch) {
		boolean isNew = this.expectedOf != watch;
		this.expectedOf = watch;
		return isNew;
	}

	// After how long without a part of its answer the watch of now is overdue.
	long waitMillis() {
		return OVERDUE_MILLIS << Math.min(this.overdue, MOST_DOUBLINGS);
	}

	// Takes that a watch is overdue, and returns how many were in a row.
	int watchIsOverdue() {
		this.overdue++;
		return this.overdue;
	}

	// An answer came.
	void answered() {
		this.overdue = 0;
	}

}
