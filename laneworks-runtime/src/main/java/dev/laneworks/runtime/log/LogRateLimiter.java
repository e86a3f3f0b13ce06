package dev.laneworks.runtime.log;

/**
 * Token bucket that limits the rate of log lines and prefers lines that are not routine.
 * <p>
 * Routine lines are accepted only while at least half of the burst is left, all others
 * until the bucket is empty. Not thread-safe.
 */
final class LogRateLimiter {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double linesPerSecond;

	private final double burst;

	private double tokens;

	private long refilledAtNanos;

	LogRateLimiter(double linesPerSecond, double burst, long nowNanos) {
		if (!(linesPerSecond > 0) || !(burst >= 1)) {
			throw new IllegalArgumentException("linesPerSecond must be positive and burst at least 1");
		}
		this.linesPerSecond = linesPerSecond;
		this.burst = burst;
		this.tokens = burst;
		this.refilledAtNanos = nowNanos;
	}

	boolean tryAcquire(boolean isRoutine, long nowNanos) {
		double elapsed = Math.max(0, nowNanos - this.refilledAtNanos) / NANOS_PER_SECOND;
		this.refilledAtNanos = nowNanos;
		this.tokens = Math.min(this.burst, this.tokens + elapsed * this.linesPerSecond);
		double minTokens = isRoutine ? this.burst / 2 : 0;
		if (this.tokens - 1 < minTokens) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
