package dev.laneworks.core.shares;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.laneworks.core.gossip.AccountUsage;

/**
 * Engine memory that the requests of this entry use and wait for, by service and client
 * account. Accounts without any are forgotten.
 */
final class OwnUsage {

	private final Map<String, Map<String, AccountUsage>> byService = new HashMap<>();

	/** The memory that queued requests need, by service; never zero. */
	private final Map<String, Long> queuedTokens = new HashMap<>();

	/**
	 * Record a change of the usage of an account.
	 * @param service the name of the service
	 * @param change the change of each count, which may be negative
	 */
	void add(String service, AccountUsage change) {
		this.queuedTokens.merge(service, change.queuedTokens(), Long::sum);
		this.queuedTokens.remove(service, 0L);
		Map<String, AccountUsage> accounts = this.byService.computeIfAbsent(service, (s) -> new HashMap<>());
		AccountUsage sum = of(service, change.account()).plus(change);
		accounts.put(sum.account(), sum);
		if (sum.usedTokens() <= 0 && sum.queuedTokens() <= 0) {
			accounts.remove(sum.account());
		}
		if (accounts.isEmpty()) {
			this.byService.remove(service);
		}
	}

	AccountUsage of(String service, String account) {
		AccountUsage none = new AccountUsage(account, 0, 0);
		return this.byService.getOrDefault(service, Map.of()).getOrDefault(account, none);
	}

	Collection<AccountUsage> of(String service) {
		return List.copyOf(this.byService.getOrDefault(service, Map.of()).values());
	}

	Set<String> services() {
		return Set.copyOf(this.byService.keySet());
	}

	boolean hasQueued(String service) {
		return this.queuedTokens.getOrDefault(service, 0L) > 0;
	}

}
