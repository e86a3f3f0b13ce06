package dev.laneworks.core.shares;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

import dev.laneworks.core.gossip.AccountUsage;
import dev.laneworks.core.gossip.ServiceDemand;

/**
 * Shares scarce engine memory fairly among client accounts.
 * <p>
 * Records what the requests of this entry use and wait for, adds what other entries
 * report, and divides the memory in use by weighted max-min fairness. Has no effect while
 * no request is queued for a service at any known entry. Not thread-safe.
 *
 * @since 0.4
 */
public final class AccountShares implements AccountOveruse, ReservationListener, QueueListener {

	/** The most accounts in one update to other entries, which bounds its size. */
	private static final int MAX_REPORTED_ACCOUNTS = 32;

	/**
	 * Age in milliseconds up to which the sums over other entries are used again. Two
	 * intervals of near updates; the sums take about a millisecond for 300 entries.
	 */
	private static final long MAX_AGE_MILLIS = 50;

	/**
	 * The use in relation to the share above which an account is placed behind others.
	 */
	public static final double MAX_OVERUSE = 1.05;

	/**
	 * The largest part of the memory that is left free for other entries; bounds what
	 * late reports can leave unused.
	 */
	private static final double MAX_FREE_SHARE = 0.05;

	private static final Comparator<AccountUsage> LARGEST_FIRST = Comparator
		.comparingLong((AccountUsage a) -> a.usedTokens() + a.queuedTokens())
		.reversed()
		.thenComparing(AccountUsage::account);

	private final Function<String, ServiceDemand> demandOfOthers;

	private final ToDoubleFunction<String> weights;

	private final ToLongFunction<String> memoryTokens;

	private final OwnUsage own = new OwnUsage();

	private final Map<String, Computed> computed = new HashMap<>();

	/**
	 * Create shares without recorded usage.
	 * @param demandOfOthers a lookup of the total demand of other entries for a service
	 * @param weights a lookup of the weight of an account, above 0; accounts that are no
	 * longer in the plan may still use memory
	 * @param memoryTokens a lookup of the memory of all engines of a service, in tokens
	 */
	public AccountShares(Function<String, ServiceDemand> demandOfOthers, ToDoubleFunction<String> weights,
			ToLongFunction<String> memoryTokens) {
		this.demandOfOthers = demandOfOthers;
		this.weights = weights;
		this.memoryTokens = memoryTokens;
	}

	@Override
	public void reservationChanged(String service, String account, long change) {
		this.own.add(service, new AccountUsage(account, change, 0));
	}

	/**
	 * Record that requests of this entry were queued or left the queue.
	 * @param service the name of the service
	 * @param account the name of the client account
	 * @param change the memory that they need, in tokens; negative for requests that left
	 * the queue
	 */
	@Override
	public void queueChanged(String service, String account, long change) {
		if (!this.own.hasQueued(service)) {
			this.computed.remove(service);
		}
		this.own.add(service, new AccountUsage(account, 0, change));
	}

	@Override
	public double of(String service, String account, long now) {
		return isContended(service, now) ? relativeToShare(service, usage(service, account, now), 0, now) : 0;
	}

	/**
	 * Return the demand of a client account divided by its fair share, with its queued
	 * requests counted as if they were running. When a queue is full, the account with
	 * the highest quotient is the one to refuse a request of: one that floods the queue
	 * may not use much memory yet.
	 * @param service the name of the service
	 * @param account the name of the client account
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the quotient; 0 while no memory is contended
	 */
	@Override
	public double ofDemand(String service, String account, long now) {
		if (!isContended(service, now)) {
			return 0;
		}
		AccountUsage usage = usage(service, account, now);
		return relativeToShare(service, usage, usage.queuedTokens(), now);
	}

	/**
	 * Return the memory that a new request of a client account must leave free for
	 * requests that are queued at other entries: those of accounts within their shares,
	 * if the account is above its own. Without it, an entry at which only such an account
	 * waits would use the memory that comes free before the others check their queues.
	 * @param service the name of the service
	 * @param account the name of the client account
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the number of tokens, a small part of the memory of all engines
	 */
	@Override
	public long tokensToLeaveFree(String service, String account, long now) {
		if (of(service, account, now) <= MAX_OVERUSE) {
			return 0;
		}
		long queued = contention(service, now).others()
			.stream()
			.filter((a) -> a.queuedTokens() > 0 && of(service, a.account(), now) <= MAX_OVERUSE)
			.mapToLong(AccountUsage::queuedTokens)
			.sum();
		return Math.min(queued, Math.round(MAX_FREE_SHARE * this.memoryTokens.applyAsLong(service)));
	}

	/**
	 * Return the usage of this entry to report to other entries.
	 * @param service the name of the service
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the usage of the accounts that use and wait for most memory, the largest
	 * first; empty while no request is queued at any known entry
	 */
	public List<AccountUsage> report(String service, long now) {
		if (!isContended(service, now)) {
			return List.of();
		}
		return this.own.of(service).stream().sorted(LARGEST_FIRST).limit(MAX_REPORTED_ACCOUNTS).toList();
	}

	/**
	 * Add the usage by account to the demand that this entry reports to other entries.
	 * @param queued the demand of the queue, each service at most once
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the demand with accounts, also for services for which only other entries
	 * have queued requests
	 */
	public List<ServiceDemand> addAccounts(List<ServiceDemand> queued, long now) {
		Map<String, ServiceDemand> sums = new LinkedHashMap<>();
		queued.forEach((d) -> sums.put(d.service(), d));
		for (String service : this.own.services()) {
			List<AccountUsage> accounts = report(service, now);
			if (!accounts.isEmpty()) {
				sums.merge(service, new ServiceDemand(service, 0, 0, 0, 0, accounts), ServiceDemand::plus);
			}
		}
		return List.copyOf(sums.values());
	}

	/**
	 * Return the use and the share of the accounts of all contended services, for
	 * operators.
	 * @param limit the most accounts to return
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the accounts that use most memory, the largest first
	 */
	public List<AccountShare> shares(int limit, long now) {
		List<AccountShare> shares = new ArrayList<>();
		this.own.services().stream().filter((s) -> isContended(s, now)).forEach((s) -> addShares(s, shares, now));
		return shares.stream()
			.sorted(Comparator.comparingLong(AccountShare::usedTokens).reversed())
			.limit(limit)
			.toList();
	}

	private void addShares(String service, List<AccountShare> shares, long now) {
		Contention contention = contention(service, now);
		contention.accounts(this.own.of(service))
			.forEach((a) -> shares.add(new AccountShare(service, a.account(), a.usedTokens(),
					Math.round(contention.share(this.weights.applyAsDouble(a.account()))))));
	}

	private boolean isContended(String service, long now) {
		return this.own.hasQueued(service) || contention(service, now).othersQueue();
	}

	private AccountUsage usage(String service, String account, long now) {
		return this.own.of(service, account).plus(contention(service, now).others(account));
	}

	private double relativeToShare(String service, AccountUsage usage, double queuedTokens, long now) {
		double tokens = usage.usedTokens() + queuedTokens;
		double share = contention(service, now).share(this.weights.applyAsDouble(usage.account()));
		return (tokens > 0) ? tokens / share : 0;
	}

	private Contention contention(String service, long now) {
		Computed latest = this.computed.get(service);
		if (latest == null || now - latest.at() >= MAX_AGE_MILLIS) {
			latest = new Computed(new Contention(this.own.of(service), this.demandOfOthers.apply(service),
					this.memoryTokens.applyAsLong(service), this.weights), now);
			this.computed.put(service, latest);
		}
		return latest.contention();
	}

	private record Computed(Contention contention, long at) {

	}

}
