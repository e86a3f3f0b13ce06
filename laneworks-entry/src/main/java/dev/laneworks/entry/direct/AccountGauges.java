package dev.laneworks.entry.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.laneworks.core.shares.AccountShare;

/**
 * Gauges of the use and the share of contended engine memory by client account.
 * <p>
 * Updated on the I/O thread and read by scrapes on other threads. Only accounts with a
 * share at present have gauges.
 */
final class AccountGauges {

	/** The most accounts with gauges, which bounds the size of a scrape. */
	static final int MAX_ACCOUNTS = 32;

	private static final String USED_TOKENS = "laneworks_account_used_tokens_";

	private static final String SHARE_TOKENS = "laneworks_account_share_tokens_";

	private final MetricRegistry metrics;

	private volatile Map<String, Long> values = Map.of();

	AccountGauges(MetricRegistry metrics) {
		this.metrics = metrics;
	}

	void update(List<AccountShare> shares) {
		Map<String, Long> latest = new HashMap<>();
		for (AccountShare share : shares) {
			latest.merge(USED_TOKENS + suffix(share.account()), share.usedTokens(), Long::sum);
			latest.merge(SHARE_TOKENS + suffix(share.account()), share.shareTokens(), Long::sum);
		}
		Map<String, Long> former = this.values;
		this.values = latest;
		former.keySet().stream().filter((n) -> !latest.containsKey(n)).forEach(this.metrics::remove);
		latest.keySet().stream().filter((n) -> !former.containsKey(n)).forEach(this::register);
	}

	private void register(String name) {
		this.metrics.register(name, (Gauge<Long>) () -> this.values.getOrDefault(name, 0L));
	}

	// Accounts whose names differ only in special characters share one gauge, since the
	// text format cannot contain a name twice.
	private static String suffix(String account) {
		return account.isEmpty() ? "none" : account.replaceAll("[^a-zA-Z0-9]", "_");
	}

}
