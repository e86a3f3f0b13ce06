package dev.laneworks.core.gossip;

import java.util.Objects;

/**
 * Engine memory that the requests of one client account use and wait for, at one entry or
 * several.
 *
 * @param account the name of the client account
 * @param usedTokens the memory reserved by its requests at engines, in tokens
 * @param queuedTokens the memory that its queued requests need, in tokens
 * @since 0.4
 */
public record AccountUsage(String account, long usedTokens, long queuedTokens) {

	public AccountUsage {
		Objects.requireNonNull(account, "account must not be null");
	}

	/**
	 * Add the usage at other entries.
	 * @param other the usage of the same client account
	 * @return the sum of each count, which does not overflow for a false report
	 */
	public AccountUsage plus(AccountUsage other) {
		return new AccountUsage(this.account, sum(this.usedTokens, other.usedTokens),
				sum(this.queuedTokens, other.queuedTokens));
	}

	static long sum(long first, long second) {
		long sum = first + second;
		return (first > 0 && second > 0 && sum < 0) ? Long.MAX_VALUE : sum;
	}

}
