package dev.laneworks.core.shares;

/**
 * Use of scarce engine memory by a client account in relation to its fair share.
 *
 * @since 0.4
 */
@FunctionalInterface
public interface AccountOveruse {

	/** Treats all client accounts as within their fair shares. */
	AccountOveruse NONE = (service, account, now) -> 0;

	/**
	 * Return the use of a client account divided by its fair share.
	 * @param service the name of the service
	 * @param account the name of the client account
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the quotient, above 1 if the account uses more than its share; 0 while no
	 * memory is contended
	 */
	double of(String service, String account, long now);

	/**
	 * Return the demand of a client account divided by its fair share, with its queued
	 * generations counted as if they were running. When a queue is full, the account with
	 * the highest quotient is the one to refuse a generation of.
	 * @param service the name of the service
	 * @param account the name of the client account
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the quotient; 0 while no memory is contended
	 */
	default double ofDemand(String service, String account, long now) {
		return of(service, account, now);
	}

	/**
	 * Return the memory that a new generation of a client account must leave free for
	 * accounts within their shares whose generations are queued at other entries.
	 * @param service the name of the service
	 * @param account the name of the client account
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the number of tokens; 0 for an account within its share
	 */
	default long tokensToLeaveFree(String service, String account, long now) {
		return 0;
	}

}
