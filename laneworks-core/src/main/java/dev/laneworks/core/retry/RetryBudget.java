package dev.laneworks.core.retry;

/**
 * Token bucket that limits retries to a share of recent successes, so that an outage does
 * not multiply load.
 * <p>
 * Each success adds a fraction of a retry, and each retry uses one. A low rate refills
 * the budget in times of little traffic. Not thread-safe.
 *
 * @since 0.1
 */
public final class RetryBudget {

	private static final double MILLIS_PER_SECOND = 1000.0;

	private final double sharePerSuccess;

	private final double refillPerSecond;

	private final double capacity;

	private double balance;

	private long refilledAt;

	/**
	 * Create a full budget.
	 * @param sharePerSuccess the retries earned by one success, from 0 to 1
	 * @param refillPerSecond the retries earned per second
	 * @param capacity the most retries saved up
	 */
	public RetryBudget(double sharePerSuccess, double refillPerSecond, double capacity) {
		if (!(sharePerSuccess >= 0 && sharePerSuccess <= 1)) {
			throw new IllegalArgumentException("sharePerSuccess must be from 0 to 1 but is " + sharePerSuccess);
		}
		if (!(refillPerSecond >= 0)) {
			throw new IllegalArgumentException("refillPerSecond must not be negative but is " + refillPerSecond);
		}
		if (!(capacity >= 1)) {
			throw new IllegalArgumentException("capacity must be at least 1 but is " + capacity);
		}
		this.sharePerSuccess = sharePerSuccess;
		this.refillPerSecond = refillPerSecond;
		this.capacity = capacity;
		this.balance = capacity;
	}

	/** Record a success. */
	public void recordSuccess() {
		this.balance = Math.min(this.capacity, this.balance + this.sharePerSuccess);
	}

	/**
	 * Use one retry if one is available.
	 * @param now the current time in milliseconds
	 * @return {@code false} if the budget is exhausted
	 */
	public boolean tryAcquire(long now) {
		refill(now);
		if (this.balance < 1) {
			return false;
		}
		this.balance--;
		return true;
	}

	/**
	 * Return the number of available retries.
	 * @return the balance, refilled at the latest call of {@link #tryAcquire}
	 */
	public double balance() {
		return this.balance;
	}

	private void refill(long now) {
		long elapsed = Math.max(0, now - this.refilledAt);
		this.refilledAt = now;
		this.balance = Math.min(this.capacity, this.balance + elapsed / MILLIS_PER_SECOND * this.refillPerSecond);
	}

}
