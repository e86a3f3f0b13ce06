package dev.laneworks.entry.direct;

import java.util.function.LongUnaryOperator;

/**
 * Gate that holds requests after a long process pause, or after a series of short ones,
 * until the store has answered again.
 * <p>
 * After a pause the recorded state is stale: targets may be draining and data centres
 * evacuated. The gate opens without the store after a bounded wait. Used on the I/O
 * thread alone.
 */
final class ResumeGate {

	/**
	 * Shortest pause that closes the gate; well below the time within which draining and
	 * evacuations must take effect.
	 */
	private static final long LONG_PAUSE_MILLIS = 1_000;

	/**
	 * Longest time for which requests wait; below the latency goal of the fastest calls.
	 */
	private static final long MAX_WAIT_MILLIS = 300;

	private static final long NEVER = Long.MIN_VALUE / 2;

	/** Age of the latest store answer at a given time, both in milliseconds. */
	private final LongUnaryOperator storeAge;

	private long resumedAt = NEVER;

	private long lateMillis;

	ResumeGate(LongUnaryOperator storeAge) {
		this.storeAge = storeAge;
	}

	/**
	 * Handle a process pause.
	 * @param millis the length of the pause in milliseconds
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if the pause is long enough to close the gate
	 */
	boolean paused(long millis, long now) {
		boolean isLong = millis >= LONG_PAUSE_MILLIS;
		if (isLong) {
			this.resumedAt = now;
		}
		return isLong;
	}

	/**
	 * Handle a late wake-up of the process.
	 * @param sinceContactMillis the time since the last contact in which the process was
	 * late, in milliseconds
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if this closes the gate
	 */
	boolean late(long sinceContactMillis, long now) {
		boolean becomesLong = sinceContactMillis >= LONG_PAUSE_MILLIS && this.lateMillis < LONG_PAUSE_MILLIS;
		this.lateMillis = sinceContactMillis;
		return becomesLong && !isClosed(now) && paused(sinceContactMillis, now);
	}

	boolean isClosed(long now) {
		boolean isStoreRead = now - this.storeAge.applyAsLong(now) > this.resumedAt;
		return now - this.resumedAt < MAX_WAIT_MILLIS && !isStoreRead;
	}

}
