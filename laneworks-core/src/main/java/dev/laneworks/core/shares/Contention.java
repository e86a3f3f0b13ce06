package dev.laneworks.core.shares;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import dev.laneworks.core.gossip.AccountUsage;
import dev.laneworks.core.gossip.ServiceDemand;

/**
 * Contention for the engine memory of a service at one time: the usage of the other
 * entries, and the level up to which accounts share the memory.
 */
final class Contention {

	private final boolean othersQueue;

	private final Map<String, AccountUsage> others = new HashMap<>();

	private final long memoryTokens;

	private final double level;

	/**
	 * Compute the level.
	 * @param own the usage of this entry
	 * @param reported the sum of what other entries report
	 * @param memoryTokens the memory of the engines, in tokens, which bounds the reported
	 * use
	 * @param weights the weight of an account, by name
	 */
	Contention(Collection<AccountUsage> own, ServiceDemand reported, long memoryTokens,
			ToDoubleFunction<String> weights) {
		this.othersQueue = reported.queuedRequests() > 0;
		this.memoryTokens = memoryTokens;
		reported.accounts().forEach((a) -> this.others.put(a.account(), bounded(a, memoryTokens)));
		Collection<AccountUsage> sums = accounts(own);
		// Engines that are full are fully used, whatever they start next. Their memory
		// itself is the wrong capacity, since a part of it is withheld from new starts.
		double used = sums.stream().mapToDouble(AccountUsage::usedTokens).sum();
		List<MaxMinShares.Demand> demands = sums.stream()
			.map((a) -> new MaxMinShares.Demand((double) a.usedTokens() + a.queuedTokens(),
					weights.applyAsDouble(a.account())))
			.toList();
		this.level = MaxMinShares.level(demands, Math.min(used, memoryTokens));
	}

	// A figure above the memory of all engines is false. It must neither raise the level
	// nor overflow the sums.
	private static AccountUsage bounded(AccountUsage reported, long memoryTokens) {
		return new AccountUsage(reported.account(), Math.min(Math.max(0, reported.usedTokens()), memoryTokens),
				Math.min(Math.max(0, reported.queuedTokens()), memoryTokens));
	}

	boolean othersQueue() {
		return this.othersQueue;
	}

	AccountUsage others(String account) {
		return this.others.getOrDefault(account, new AccountUsage(account, 0, 0));
	}

	Collection<AccountUsage> others() {
		return this.others.values();
	}

	// The usage of all entries by account.
	Collection<AccountUsage> accounts(Collection<AccountUsage> own) {
		Map<String, AccountUsage> sums = new HashMap<>(this.others);
		own.forEach((a) -> sums.merge(a.account(), a, AccountUsage::plus));
		return sums.values();
	}

	// The share of an account in tokens, at most the memory of all engines.
	double share(double weight) {
		return Math.min(this.level * weight, this.memoryTokens);
	}

}
