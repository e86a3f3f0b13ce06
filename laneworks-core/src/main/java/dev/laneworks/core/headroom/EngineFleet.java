package dev.laneworks.core.headroom;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Engines of each service and their memory, as this entry knows them.
 *
 * @since 0.4
 */
public interface EngineFleet {

	/**
	 * Return the most urgent priority of a service's streaming routes.
	 * @param service the name of the service
	 * @return the lowest number, 0 being the highest priority
	 */
	int mostUrgentPriority(String service);

	/**
	 * Return the memory of one engine.
	 * @param service the name of the service
	 * @return the number of tokens; 0 for a service without engines
	 */
	long memoryTokens(String service);

	/**
	 * Return the number of engines that accept requests.
	 * @param service the name of the service
	 * @return the number of engines that are neither leaving nor withheld
	 */
	int acceptingEngines(String service);

	/**
	 * Return the memory that all entries have reserved at an engine.
	 * @param engine the engine
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the number of tokens
	 */
	double reservedTokens(ListedTarget engine, long now);

	/**
	 * Return the number of known entries.
	 * @return the count, including this entry
	 */
	int entries();

}
