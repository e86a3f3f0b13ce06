package dev.laneworks.core.waiting;

/**
 * Number of waiting generations.
 *
 * @param requests the count
 * @param oldestArrivedAt the earliest arrival in milliseconds of the monotonic clock
 * @since 0.4
 */
public record WaitingCount(int requests, long oldestArrivedAt) {

	/**
	 * Add up two counts.
	 * @param other the other count
	 * @return the sum, with the earlier one of the arrivals
	 */
	public WaitingCount plus(WaitingCount other) {
		return new WaitingCount(this.requests + other.requests, Math.min(this.oldestArrivedAt, other.oldestArrivedAt));
	}

}
