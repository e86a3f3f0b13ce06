package dev.laneworks.bench.policy;

/**
 * Scheduling policy that decides at which engine and when a request starts.
 */
interface Policy {

	/**
	 * Handle the arrival of a request.
	 * @param number the index of the request in the trace
	 * @param arrival the arrived request
	 * @param nowMillis the virtual time in milliseconds
	 */
	void handleArrival(int number, Arrival arrival, long nowMillis);

	/**
	 * Handle an output token.
	 * @param engine the index of the engine
	 * @param number the index of the request in the trace
	 * @param offset the number of earlier tokens of the output
	 * @param nowMillis the virtual time in milliseconds
	 */
	void handleToken(int engine, int number, int offset, long nowMillis);

	/**
	 * Handle the end of an output.
	 * @param engine the index of the engine
	 * @param number the index of the request in the trace
	 * @param total the length of the output in tokens
	 * @param nowMillis the virtual time in milliseconds
	 */
	void handleEnd(int engine, int number, int total, long nowMillis);

	/**
	 * Run the timers that are due.
	 * @param nowMillis the virtual time in milliseconds
	 */
	void tick(long nowMillis);

}
