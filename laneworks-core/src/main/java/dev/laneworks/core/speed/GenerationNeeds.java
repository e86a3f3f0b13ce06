package dev.laneworks.core.speed;

/**
 * Properties of a generation that decide how fast its engine must be.
 *
 * @param expectedEvents the expected number of events
 * @param eventIntervalGoalMillis the goal for the longest pause between events, in
 * milliseconds; 0 if there is none
 * @param goalMillis the goal for the first event, in milliseconds; 0 if there is none
 * @since 0.4
 */
public record GenerationNeeds(long expectedEvents, long eventIntervalGoalMillis, long goalMillis) {

	/**
	 * Number of events from which a stream is likely to run beside a prefill and through
	 * a slow phase.
	 */
	private static final int MANY_EVENTS = 16;

	/** Needs of a generation about which nothing is known. */
	public static final GenerationNeeds UNKNOWN = new GenerationNeeds(0, 0, 0);

	/**
	 * Determine whether a slow engine would delay events of the stream beyond its goal.
	 * @return {@code true} if pauses matter and many events are expected
	 */
	public boolean isSensitiveToPauses() {
		return this.eventIntervalGoalMillis > 0 && this.expectedEvents >= MANY_EVENTS;
	}

	/**
	 * Determine whether the generation ends soon after its prompt is read.
	 * @return {@code true} if few events are expected
	 */
	public boolean hasFewEvents() {
		return this.expectedEvents > 0 && this.expectedEvents < MANY_EVENTS;
	}

}
