package dev.laneworks.core.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Demand for the engine memory of a service that is not served yet, at one entry or
 * several.
 *
 * @param service the name of the service
 * @param queuedRequests the number of queued requests
 * @param queuedTokens the memory that they need, in tokens
 * @param returningRequests the number of refused requests whose callers were told to
 * return within the next seconds
 * @param returningTokens the memory that they need, in tokens
 * @param accounts the usage by client account, each account at most once
 * @since 0.4
 */
public record ServiceDemand(String service, int queuedRequests, long queuedTokens, int returningRequests,
		long returningTokens, List<AccountUsage> accounts) {

	public ServiceDemand {
		Objects.requireNonNull(service, "service must not be null");
		accounts = List.copyOf(accounts);
	}

	/**
	 * Return the absence of demand.
	 * @param service the name of the service
	 * @return demand with all counts at zero
	 */
	public static ServiceDemand none(String service) {
		return new ServiceDemand(service, 0, 0, 0, 0, List.of());
	}

	/**
	 * Add the demand at other entries.
	 * @param other the demand for the same service
	 * @return the sum of each count, which does not overflow for a false report, with the
	 * usage of each client account added up
	 */
	public ServiceDemand plus(ServiceDemand other) {
		Map<String, AccountUsage> sums = new LinkedHashMap<>();
		this.accounts.forEach((a) -> sums.merge(a.account(), a, AccountUsage::plus));
		other.accounts.forEach((a) -> sums.merge(a.account(), a, AccountUsage::plus));
		return new ServiceDemand(this.service, sum(this.queuedRequests, other.queuedRequests),
				AccountUsage.sum(this.queuedTokens, other.queuedTokens),
				sum(this.returningRequests, other.returningRequests),
				AccountUsage.sum(this.returningTokens, other.returningTokens), new ArrayList<>(sums.values()));
	}

	private static int sum(int first, int second) {
		return (int) Math.min(Integer.MAX_VALUE, (long) first + second);
	}

}
