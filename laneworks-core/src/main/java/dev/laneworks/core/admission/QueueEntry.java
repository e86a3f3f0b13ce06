package dev.laneworks.core.admission;

/**
 * Request in an {@link AdmissionQueue}.
 *
 * @since 0.1
 */
public interface QueueEntry {

	/**
	 * Return the client account whose share the request uses.
	 * @return the name of the account
	 */
	String account();

	/**
	 * Return the priority of the request.
	 * @return the priority, where higher values go first
	 */
	int priority();

	/**
	 * Return the share of the account relative to other accounts.
	 * @return the weight, above 0
	 */
	double weight();

	/**
	 * Return the time at which the request was queued.
	 * @return the time in milliseconds
	 */
	long queuedAt();

}
