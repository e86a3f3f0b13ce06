package dev.laneworks.core.waiting;

import java.util.Optional;

import dev.laneworks.core.document.DocumentObject;

/**
 * Settings of the queue of generations that wait for engine memory.
 *
 * @param minGoalMillis the latency goal in milliseconds from which on a less urgent route
 * makes its service use the queue
 * @param order the order of generations that are equal in priority, timeliness and share
 * @param maxQueued the most generations that wait for one service
 * @param accountShares whether engine memory is shared fairly among client accounts
 * @since 0.4
 */
public record WaitingSettings(long minGoalMillis, WaitingOrder order, int maxQueued, boolean accountShares) {

	private static final long DEFAULT_MIN_GOAL_MILLIS = 3_000;

	private static final long MAX_GOAL_MILLIS = 600_000;

	private static final int DEFAULT_MAX_QUEUED = 512;

	private static final int MAX_QUEUED = 100_000;

	/**
	 * Read the settings from a document.
	 * @param object the object with the member
	 * @param name the name of the member
	 * @return the settings, or empty if the member is absent and nothing waits
	 */
	public static Optional<WaitingSettings> read(DocumentObject object, String name) {
		if (!object.has(name)) {
			return Optional.empty();
		}
		DocumentObject waiting = object.object(name);
		return Optional
			.of(new WaitingSettings(waiting.integer("minGoalMillis", 1, MAX_GOAL_MILLIS, DEFAULT_MIN_GOAL_MILLIS),
					waiting.enumValue("order", WaitingOrder.class, WaitingOrder.LEAST_SLACK),
					(int) waiting.integer("maxQueued", 1, MAX_QUEUED, DEFAULT_MAX_QUEUED),
					waiting.bool("accountShares", false)));
	}

}
