package dev.laneworks.entry.direct;

import java.util.function.LongUnaryOperator;

/**
 * Keeps requests waiting behind a long pause until the store was heard anew.
 * <p>
 * An entry that was frozen or suspended for seconds believes what was true before: it
 * would send work to targets that left and to data centres that were evacuated meanwhile.
 * The store is asked at once and answers within milliseconds; where it is away, what is
 * believed has to do. Used on the I/O thread alone.
 */
final class WakeGate {

	/**
	 * The shortest pause behind which requests wait, in milliseconds: half of the two
	 * seconds after which a leaving or an evacuation binds.
	 */
	private static final long LONG_PAUSE_MILLIS = 1_000;

	/**
	 * For how long requests wait at the most, in milliseconds: less than the goal of the
	 * quickest calls, and longer than the store takes on bad days.
	 */
	private static final long WAIT_MILLIS = 300;

	private static final long NEVER = Long.MIN_VALUE / 2;

	/** Gives how long ago the store was heard, at a time. */
	private final LongUnaryOperator storeAge;

	private long wokeAt = NEVER;

	WakeGate(LongUnaryOperator storeAge) {
		this.storeAge = storeAge;
	}

	/**
	 * Take that the process was held up.
	 * @param millis for how long, in milliseconds
	 * @param now the time in milliseconds
	 * @return whether requests wait from now on
	 */
	boolean paused(long millis, long now) {
		boolean isLong = millis >= LONG_PAUSE_MILLIS;
		if (isLong) {
			this.wokeAt = now;
		}
		return isLong;
	}

	// Whether requests have to wait.
	boolean isClosed(long now) {
		boolean isHeard = now - this.storeAge.applyAsLong(now) > this.wokeAt;
		return now - this.wokeAt < WAIT_MILLIS && !isHeard;
	}

}
