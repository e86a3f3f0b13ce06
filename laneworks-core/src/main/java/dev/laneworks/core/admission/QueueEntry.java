package dev.laneworks.core.admission;

/**
 * A request that waits for admission.
 *
 * @since 0.1
 */
public interface QueueEntry {

	/**
	 * Return the account that its share is counted for.
	 * @return the client account
	 */
	String account();

	/**
	 * Return its priority.
	 * @return higher goes first
	 */
	int priority();

	/**
	 * Return the account's share relative to other accounts.
	 * @return the weight, above 0
	 */
	double weight();

	/**
	 * Return when it came.
	 * @return the time in milliseconds
	 */
	long queuedAt();

}
