package dev.laneworks.runtime.log;

/**
 * Bounds how much is logged a second, and lets what is out of the ordinary go first.
 * <p>
 * A bucket of lines fills at a rate up to a burst. Routine lines are logged while more
 * than half of the burst is left, all others until it is empty. Not thread-safe.
 */
final class LineBudget {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double linesPerSecond;

	private final double burst;

	private double left;

	private long filledAt;

	LineBudget(double linesPerSecond, double burst, long nowNanos) {
		if (!(linesPerSecond > 0) || !(burst >= 1)) {
			throw new IllegalArgumentException("linesPerSecond must be positive and burst at least 1");
		}
		this.linesPerSecond = linesPerSecond;
		this.burst = burst;
		this.left = burst;
		this.filledAt = nowNanos;
	}

	boolean tryTake(boolean isRoutine, long nowNanos) {
		double elapsed = Math.max(0, nowNanos - this.filledAt) / NANOS_PER_SECOND;
		this.filledAt = nowNanos;
		this.left = Math.min(this.burst, this.left + elapsed * this.linesPerSecond);
		double floor = isRoutine ? this.burst / 2 : 0;
		if (this.left - 1 < floor) {
			return false;
		}
		this.left--;
		return true;
	}

}
