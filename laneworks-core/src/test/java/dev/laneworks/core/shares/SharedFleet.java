package dev.laneworks.core.shares;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import dev.laneworks.core.gossip.AccountUsage;
import dev.laneworks.core.gossip.ServiceDemand;

/**
 * Simulation of entries with queues that share engine memory among client accounts of
 * uneven size.
 * <p>
 * Entries of one data centre, and all entries of a small fleet, receive reports at
 * intervals of 25 ms to 1 s, others every 3 s. Each entry checks its queue at random
 * intervals around 40 ms. A request that has waited too long is refused; only the account
 * that floods retries it.
 */
final class SharedFleet {

	static final int ACCOUNTS = 24;

	private static final String SERVICE = "s";

	private static final double ZIPF_EXPONENT = 1.2;

	private static final long TICK_MILLIS = 5;

	private static final long GOSSIP_MILLIS = 25;

	private static final int FAN_OUT = 8;

	private static final int DATA_CENTRES = 3;

	private static final int MEAN_TOKENS = 3_250;

	private static final int MEAN_MILLIS = 3_000;

	private static final long GOAL_MILLIS = 4_000;

	private static final long MAX_WAIT_MILLIS = 8_000;

	private static final int MAX_QUEUED = 512;

	/** The time after which the account that floods sends a refused request again. */
	private static final long RETRY_MILLIS = 200;

	private static final long WARM_UP_MILLIS = 10_000;

	private final SplittableRandom random;

	private final Order order;

	private final Victim victim;

	private final boolean leavesMemory;

	private final List<Entry> entries = new ArrayList<>();

	private final PriorityQueue<Request> arrivals = new PriorityQueue<>(Comparator.comparingLong((r) -> r.dueAt));

	private final PriorityQueue<Request> running = new PriorityQueue<>(Comparator.comparingLong((r) -> r.endsAt));

	private final double[] asked = new double[ACCOUNTS];

	private final double[] served = new double[ACCOUNTS];

	/** The account that floods and retries at once; -1 for none. */
	private int flooder = -1;

	private final long memoryTokens;

	private long freeTokens;

	private long endsAt;

	private long now;

	/**
	 * Create a fleet without requests.
	 * @param entries the number of entries
	 * @param memoryTokens the memory of all engines
	 * @param order the order of the queues
	 * @param victim the request to refuse when a queue is full
	 * @param leavesMemory whether accounts above their shares leave memory free for
	 * requests that are queued at other entries
	 * @param seed the seed of the random choices
	 */
	SharedFleet(int entries, long memoryTokens, Order order, Victim victim, boolean leavesMemory, long seed) {
		this.random = new SplittableRandom(seed);
		this.order = order;
		this.victim = victim;
		this.leavesMemory = leavesMemory;
		this.memoryTokens = memoryTokens;
		this.freeTokens = memoryTokens;
		IntStream.range(0, entries).forEach((i) -> this.entries.add(new Entry(i)));
	}

	/**
	 * Run with arrivals at random times and entries.
	 * @param load the offered work of all accounts, in relation to the capacity
	 * @param floodLoad the offered work of the account that floods, in addition
	 * @param account the account that floods; -1 for none
	 * @param millis the duration of the arrivals
	 */
	void run(double load, double floodLoad, int account, long millis) {
		this.flooder = account;
		this.endsAt = millis;
		double sum = IntStream.range(0, ACCOUNTS).mapToDouble(SharedFleet::size).sum();
		for (int i = 0; i < ACCOUNTS; i++) {
			scheduleArrivals(i, load * size(i) / sum + ((i == account) ? floodLoad : 0));
		}
		for (; this.now < millis; this.now += TICK_MILLIS) {
			endRequests();
			while (!this.arrivals.isEmpty() && this.arrivals.peek().dueAt <= this.now) {
				Request next = this.arrivals.poll();
				this.entries.get(this.random.nextInt(this.entries.size())).accept(next);
			}
			this.entries.forEach(Entry::step);
			if (this.now % GOSSIP_MILLIS == 0) {
				this.entries.forEach(Entry::gossip);
			}
		}
	}

	/**
	 * Return the smallest part of its work that an account was served.
	 * @param maxShare the most that the account asks for, in relation to its share
	 * @return the fraction
	 */
	double worstBelowShare(double maxShare) {
		double level = MaxMinShares.level(
				IntStream.range(0, ACCOUNTS).mapToObj((i) -> new MaxMinShares.Demand(this.asked[i], 1)).toList(),
				capacityWork());
		return IntStream.range(0, ACCOUNTS)
			.filter((i) -> i != this.flooder && this.asked[i] <= maxShare * level && this.asked[i] > 0)
			.mapToDouble((i) -> this.served[i] / this.asked[i])
			.min()
			.orElse(1);
	}

	// The part of the capacity that requests used which were not refused.
	double goodput() {
		return IntStream.range(0, ACCOUNTS).mapToDouble((i) -> this.served[i]).sum() / capacityWork();
	}

	private double capacityWork() {
		return (double) this.memoryTokens * (this.endsAt - WARM_UP_MILLIS - MAX_WAIT_MILLIS);
	}

	private static double size(int account) {
		return Math.pow(account + 1, -ZIPF_EXPONENT);
	}

	private void scheduleArrivals(int account, double load) {
		double perMilli = load * this.memoryTokens / MEAN_TOKENS / MEAN_MILLIS;
		double at = 0;
		while (true) {
			at -= Math.log(1 - this.random.nextDouble()) / perMilli;
			if (at >= this.endsAt) {
				return;
			}
			Request request = new Request(account, Math.round(MEAN_TOKENS * (0.5 + this.random.nextDouble())),
					Math.round(MEAN_MILLIS * (0.5 + this.random.nextDouble())), Math.round(at));
			this.arrivals.add(request);
			if (isMeasured(request)) {
				this.asked[account] += request.work();
			}
		}
	}

	// Requests at the end have no time left to be served.
	private boolean isMeasured(Request request) {
		return request.arrivedAt >= WARM_UP_MILLIS && request.arrivedAt < this.endsAt - MAX_WAIT_MILLIS;
	}

	private void endRequests() {
		while (!this.running.isEmpty() && this.running.peek().endsAt <= this.now) {
			Request ended = this.running.poll();
			this.freeTokens += ended.tokens;
			ended.entry.shares.reservationChanged(SERVICE, name(ended.account), -ended.tokens);
			ended.entry.nextCheckAt = this.now;
		}
	}

	private static String name(int account) {
		return "account-" + account;
	}

	/** Orders of the queue within the same priority and goal group. */
	enum Order {

		/** By arrival alone. */
		ARRIVAL,

		/** Accounts above 1.05 of their share behind the others. */
		THRESHOLD,

		/** By use divided by share. */
		STRICT;

		private double key(double overuse) {
			return switch (this) {
				case ARRIVAL -> 0;
				case THRESHOLD -> (overuse > 1.05) ? 1 : 0;
				case STRICT -> overuse;
			};
		}

	}

	/** Choices of the request to refuse when a queue is full. */
	enum Victim {

		/** The last one in the order of the queue. */
		LAST,

		/** The last one of the account with most demand in relation to its share. */
		LARGEST_DEMAND

	}

	private static final class Request {

		private final int account;

		private final long tokens;

		private final long millis;

		private final long arrivedAt;

		private long dueAt;

		private long endsAt;

		private Entry entry;

		Request(int account, long tokens, long millis, long arrivedAt) {
			this.account = account;
			this.tokens = tokens;
			this.millis = millis;
			this.arrivedAt = arrivedAt;
			this.dueAt = arrivedAt;
		}

		private double work() {
			return (double) this.tokens * this.millis;
		}

	}

	private record Report(int queuedRequests, long[] used, long[] queued) {

	}

	private final class Entry {

		private final int index;

		private final List<Request> queue = new ArrayList<>();

		private final Map<Entry, Report> received = new HashMap<>();

		private final long[] used = new long[ACCOUNTS];

		private final long[] queued = new long[ACCOUNTS];

		private final AccountShares shares = new AccountShares((s) -> demandOfOthers(), (a) -> 1,
				(s) -> SharedFleet.this.memoryTokens);

		private int queuedRequests;

		private long nextCheckAt;

		private Entry(int index) {
			this.index = index;
		}

		private void accept(Request request) {
			request.entry = this;
			this.queue.add(request);
			this.shares.queueChanged(SERVICE, name(request.account), request.tokens);
			if (this.queue.size() > MAX_QUEUED) {
				refuse((SharedFleet.this.victim == Victim.LAST) ? last() : lastOfLargestDemand());
			}
			this.nextCheckAt = (this.queue.size() == 1) ? SharedFleet.this.now : this.nextCheckAt;
		}

		private void step() {
			if (this.nextCheckAt > SharedFleet.this.now) {
				return;
			}
			this.nextCheckAt = SharedFleet.this.now + 20 + SharedFleet.this.random.nextInt(40);
			List.copyOf(this.queue)
				.stream()
				.filter((r) -> SharedFleet.this.now - r.arrivedAt > MAX_WAIT_MILLIS)
				.forEach(this::refuse);
			while (!this.queue.isEmpty()) {
				Request first = first();
				if (first.tokens + tokensToLeave(first) > SharedFleet.this.freeTokens) {
					return;
				}
				start(first);
			}
		}

		private long tokensToLeave(Request request) {
			return SharedFleet.this.leavesMemory
					? this.shares.tokensToLeaveFree(SERVICE, name(request.account), SharedFleet.this.now) : 0;
		}

		private void start(Request request) {
			leaveQueue(request);
			SharedFleet.this.freeTokens -= request.tokens;
			this.shares.reservationChanged(SERVICE, name(request.account), request.tokens);
			request.endsAt = SharedFleet.this.now + request.millis;
			SharedFleet.this.running.add(request);
			if (isMeasured(request)) {
				SharedFleet.this.served[request.account] += request.work();
			}
		}

		private void refuse(Request request) {
			leaveQueue(request);
			boolean canRetry = SharedFleet.this.now - request.arrivedAt < MAX_WAIT_MILLIS;
			if (request.account == SharedFleet.this.flooder && canRetry) {
				request.dueAt = SharedFleet.this.now + RETRY_MILLIS;
				SharedFleet.this.arrivals.add(request);
			}
		}

		private void leaveQueue(Request request) {
			this.queue.remove(request);
			this.shares.queueChanged(SERVICE, name(request.account), -request.tokens);
		}

		private Comparator<Request> comparator() {
			Map<Integer, Double> keys = new HashMap<>();
			return Comparator.comparing((Request r) -> SharedFleet.this.now - r.arrivedAt > GOAL_MILLIS)
				.thenComparing((r) -> keys.computeIfAbsent(r.account, this::key))
				.thenComparing((r) -> r.arrivedAt);
		}

		private double key(int account) {
			return SharedFleet.this.order.key(this.shares.of(SERVICE, name(account), SharedFleet.this.now));
		}

		private Request first() {
			return this.queue.stream().min(comparator()).orElseThrow();
		}

		private Request last() {
			return this.queue.stream().max(comparator()).orElseThrow();
		}

		private Request lastOfLargestDemand() {
			Map<Integer, Double> demands = new HashMap<>();
			return this.queue.stream()
				.max(Comparator
					.comparing((Request r) -> demands.computeIfAbsent(r.account,
							(a) -> this.shares.ofDemand(SERVICE, name(a), SharedFleet.this.now)))
					.thenComparing(comparator()))
				.orElseThrow();
		}

		private void gossip() {
			Report report = report();
			List<Entry> all = SharedFleet.this.entries;
			boolean isHeartbeat = (SharedFleet.this.now + 25L * this.index) % 1_000 == 0;
			boolean isDistantBeat = (SharedFleet.this.now + 25L * this.index) % 3_000 == 0;
			if (isHeartbeat || isDistantBeat) {
				all.stream()
					.filter((e) -> e != this && (isDistantBeat || isNear(e)))
					.forEach((e) -> e.receive(this, report));
				return;
			}
			for (int i = 0; i < FAN_OUT; i++) {
				Entry other = all.get(SharedFleet.this.random.nextInt(all.size()));
				if (other != this && isNear(other)) {
					other.receive(this, report);
				}
			}
		}

		private boolean isNear(Entry other) {
			return SharedFleet.this.entries.size() <= FAN_OUT
					|| other.index % DATA_CENTRES == this.index % DATA_CENTRES;
		}

		private Report report() {
			Report report = new Report(this.queue.size(), new long[ACCOUNTS], new long[ACCOUNTS]);
			for (AccountUsage usage : this.shares.report(SERVICE, SharedFleet.this.now)) {
				int account = Integer.parseInt(usage.account().substring("account-".length()));
				report.used()[account] = usage.usedTokens();
				report.queued()[account] = usage.queuedTokens();
			}
			return report;
		}

		private void receive(Entry from, Report report) {
			Report former = this.received.put(from, report);
			add(report, 1);
			if (former != null) {
				add(former, -1);
			}
		}

		private void add(Report report, int sign) {
			this.queuedRequests += sign * report.queuedRequests();
			for (int i = 0; i < ACCOUNTS; i++) {
				this.used[i] += sign * report.used()[i];
				this.queued[i] += sign * report.queued()[i];
			}
		}

		private ServiceDemand demandOfOthers() {
			List<AccountUsage> accounts = IntStream.range(0, ACCOUNTS)
				.filter((i) -> this.used[i] + this.queued[i] > 0)
				.mapToObj((i) -> new AccountUsage(name(i), this.used[i], this.queued[i]))
				.toList();
			return new ServiceDemand(SERVICE, this.queuedRequests, 0, 0, 0, accounts);
		}

	}

}
