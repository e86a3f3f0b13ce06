package dev.laneworks.core.budget;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sum of the amounts recorded within a sliding window.
 */
final class TimedAmounts {

	private final long windowMillis;

	private final Deque<TimedAmount> amounts = new ArrayDeque<>();

	private double sum;

	TimedAmounts(long windowMillis) {
		this.windowMillis = windowMillis;
	}

	void add(double amount, long now) {
		this.amounts.add(new TimedAmount(amount, now));
		this.sum += amount;
	}

	// The sum of the amounts recorded in the window that ends now.
	double sum(long now) {
		while (!this.amounts.isEmpty() && this.amounts.peekFirst().at() <= now - this.windowMillis) {
			this.sum -= this.amounts.removeFirst().amount();
		}
		// Keeps the rounding errors of fractions from adding up.
		this.sum = this.amounts.isEmpty() ? 0 : this.sum;
		return this.sum;
	}

	private record TimedAmount(double amount, long at) {
	}

}
