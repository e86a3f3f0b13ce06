package dev.laneworks.core.waiting;

/**
 * Order of the waiting generations that are equal in priority, timeliness and share.
 *
 * @since 0.4
 */
@FunctionalInterface
public interface QueueOrder {

	/**
	 * Return the rank of a generation.
	 * @param generation the waiting generation
	 * @param slack the time left until it must start
	 * @return the rank; the generation with the lowest one starts first
	 */
	double rank(QueuedGeneration generation, Slack slack);

	/**
	 * Time left until a generation must start to meet its goal or, if that cannot be met
	 * any more, its deadline.
	 *
	 * @param millis the time left in milliseconds
	 * @param leftShare the part that is left of the whole time, from 0 to 1
	 */
	record Slack(long millis, double leftShare) {

	}

}
