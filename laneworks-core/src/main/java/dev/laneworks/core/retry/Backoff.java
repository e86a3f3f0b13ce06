package dev.laneworks.core.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Spreads retries over time: the wait doubles with each attempt and half of it is random.
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
	 * @param first the wait before the first retry
	 * @param max the greatest wait
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
	 * Return the wait before a retry.
	 * @param retry the number of the retry, from 1
	 * @return the wait in milliseconds
	 */
	public long delayMillis(int retry) {
		long full = Math.min(this.maxMillis, this.firstMillis << Math.min(MAX_SHIFT, retry - 1));
		return spread(full);
	}

	/**
	 * Return a wait between half of a time and the whole of it.
	 * @param millis the time in milliseconds
	 * @return the wait in milliseconds
	 */
	public long spread(long millis) {
		long half = Math.max(1, millis / 2);
		return half + this.random.nextLong(half + 1);
	}

}
