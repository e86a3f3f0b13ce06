package dev.laneworks.core.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter, in which half of each delay is random.
 *
 * @since 0.1
 */
public final class Backoff {

	private static final int MAX_SHIFT = 20;

	private final long firstMillis;

	private final long maxMillis;

	private final RandomGenerator random;

	/**
	 * Create a backoff.
	 * @param first the delay before the first retry
	 * @param max the longest delay
	 * @param random the source of jitter
	 */
	public Backoff(Duration first, Duration max, RandomGenerator random) {
		if (first.isNegative() || first.isZero() || max.compareTo(first) < 0) {
			throw new IllegalArgumentException("first must be positive and not above max but is " + first);
		}
		this.firstMillis = first.toMillis();
		this.maxMillis = max.toMillis();
		this.random = random;
	}

	/**
	 * Compute the delay before a retry.
	 * @param retry the number of the retry, from 1
	 * @return the delay in milliseconds
	 */
	public long delayMillis(int retry) {
		long full = Math.min(this.maxMillis, this.firstMillis << Math.min(MAX_SHIFT, retry - 1));
		return spread(full);
	}

	/**
	 * Apply jitter to a delay.
	 * @param millis the full delay in milliseconds
	 * @return a random delay between half of the full one and all of it, in milliseconds
	 */
	public long spread(long millis) {
		long half = Math.max(1, millis / 2);
		return half + this.random.nextLong(half + 1);
	}

}
