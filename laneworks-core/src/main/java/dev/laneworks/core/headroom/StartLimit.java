package dev.laneworks.core.headroom;

/**
 * Limit of the memory utilization up to which a new generation may start at an engine.
 *
 * @since 0.4
 */
@FunctionalInterface
public interface StartLimit {

	/**
	 * Return the highest memory utilization of an engine, including the new generation,
	 * up to which it may start there.
	 * @param service the name of the service
	 * @param priority the priority of the generation, 0 being the highest
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return a fraction of the engine's memory, between 0 and 1
	 */
	double maxUtilization(String service, int priority, long now);

}
