package dev.laneworks.core.inquiry;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Callbacks by which {@link DrainingQuery} queries engines and reports results.
 *
 * @since 0.2
 */
public interface DrainingQueryOutputs {

	/**
	 * Query an engine whether it is draining. Every query must be answered by a call of
	 * {@link DrainingQuery#handleAnswer}, also after a failure.
	 * @param engine the list entry of the engine
	 */
	void query(ListedTarget engine);

	/**
	 * Handle the report of an engine that it is draining.
	 * @param engine the list entry of the engine
	 * @param answer the engine's answer, with the time until it stops
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void draining(ListedTarget engine, EngineAnswer answer, long now);

	/**
	 * Handle a refused connection to an engine's address.
	 * @param engine the list entry of the engine
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void connectionRefused(ListedTarget engine, long now);

}
