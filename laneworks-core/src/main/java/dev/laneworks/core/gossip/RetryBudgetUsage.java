package dev.laneworks.core.gossip;

import java.util.Objects;

/**
 * Usage of the retry budget of a service within its window, by one entry or several.
 *
 * @param service the name of the service
 * @param requests the number of client requests
 * @param retries the number of attempts beyond the first of each request
 * @since 0.2
 */
public record RetryBudgetUsage(String service, int requests, int retries) {

	public RetryBudgetUsage {
		Objects.requireNonNull(service, "service must not be null");
	}

	/**
	 * Add the usage by other entries.
	 * @param other the usage of the budget of the same service
	 * @return the sum of each count
	 */
	public RetryBudgetUsage plus(RetryBudgetUsage other) {
		return new RetryBudgetUsage(this.service, this.requests + other.requests, this.retries + other.retries);
	}

}
