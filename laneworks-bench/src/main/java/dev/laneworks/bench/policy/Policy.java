package dev.laneworks.bench.policy;

/**
 * Decides which engine runs a request and when.
 */
interface Policy {

	/**
	 * Handle an arrival.
	 * @param number the request's number
	 * @param arrival the request
	 * @param nowMillis the time
	 */
	void arrive(int number, Arrival arrival, long nowMillis);

	/**
	 * Handle a token.
	 * @param engine which engine
	 * @param number the request's number
	 * @param offset the tokens before it
	 * @param nowMillis the time
	 */
	void token(int engine, int number, int offset, long nowMillis);

	/**
	 * Handle an end.
	 * @param engine which engine
	 * @param number the request's number
	 * @param total the tokens of the output
	 * @param nowMillis the time
	 */
	void end(int engine, int number, int total, long nowMillis);

	/**
	 * Do what is due.
	 * @param nowMillis the time
	 */
	void tick(long nowMillis);

}
