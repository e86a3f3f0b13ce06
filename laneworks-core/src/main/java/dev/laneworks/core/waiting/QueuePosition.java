package dev.laneworks.core.waiting;

import java.util.SortedMap;
import java.util.stream.Collectors;

/**
 * Place of a generation in the queue at the moment at which it was queued.
 *
 * @param ahead how many generations go before it, by priority
 * @param slackMillis the time until it must start to meet its goal, in milliseconds;
 * negative if that has passed
 * @param expectedWaitMillis the estimated time until it starts, in milliseconds
 * @since 0.4
 */
public record QueuePosition(SortedMap<Integer, Integer> ahead, long slackMillis, long expectedWaitMillis) {

	/**
	 * Return how many generations go before it.
	 * @return the count over all priorities
	 */
	public int countAhead() {
		return this.ahead.values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Describe the place for the audit log.
	 * @return the position, those ahead by priority, the slack and the expected wait
	 */
	public String describe() {
		String byPriority = this.ahead.entrySet()
			.stream()
			.map((e) -> e.getValue() + " of priority " + e.getKey())
			.collect(Collectors.joining(", ", "ahead: ", ""));
		return "position " + (countAhead() + 1) + ", " + (this.ahead.isEmpty() ? "none ahead" : byPriority) + ", slack "
				+ this.slackMillis + " ms, expected wait " + this.expectedWaitMillis + " ms";
	}

}
