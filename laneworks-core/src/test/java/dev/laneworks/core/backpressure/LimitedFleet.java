package dev.laneworks.core.backpressure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.gossip.RateLimitUpdate;
import dev.laneworks.core.time.Timers;

/**
 * Simulation in virtual time of entries that share the rate limit of one target.
 * <p>
 * Each entry sends to the target whatever it may. The target advertises its limit in all
 * responses after the first second. Updates between entries are delayed and may be lost.
 */
final class LimitedFleet {

	private static final long STEP_MILLIS = 5;

	private static final long RESPONSE_MILLIS = 80;

	private static final long LATENCY_MILLIS = 2;

	private static final long HEARTBEAT_MILLIS = 1_000;

	private static final long DEMAND_WINDOW_MILLIS = 10_000;

	/**
	 * The time of the first response with a limit, and the time from which the limit is
	 * checked.
	 */
	private static final long FIRST_LIMIT_MILLIS = 1_000;

	private static final long CHECKED_FROM_MILLIS = FIRST_LIMIT_MILLIS + 3_000;

	private static final long WINDOW_MILLIS = 4_000;

	private final ListedTarget target = new ListedTarget("t", "s", "10.0.0.1", 80, "dc", 6, false);

	private final Timers timers = new Timers();

	private final SplittableRandom random;

	private final Sharing sharing;

	private final double limit;

	private final double lossRate;

	private final List<Entry> entries = new ArrayList<>();

	/** The times at which requests reached the target. */
	private final List<Long> arrivals = new ArrayList<>();

	private long now;

	/** The number of client requests since the limit is checked. */
	int clientRequests;

	LimitedFleet(Sharing sharing, int entries, double limit, double lossRate, long seed) {
		this.sharing = sharing;
		this.limit = limit;
		this.lossRate = lossRate;
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < entries; i++) {
			this.entries.add(new Entry(i,
					(sharing == Sharing.REQUESTS_RANDOM) ? this.random.nextDouble() : (i + 0.5) / entries));
		}
	}

	/**
	 * Set the rate of client requests.
	 * @param perSecond the requests per second of all clients
	 * @param isEven whether they are spread over all entries; otherwise the first entry
	 * receives all
	 */
	void demand(double perSecond, boolean isEven) {
		for (Entry entry : this.entries) {
			entry.perSecond = isEven ? perSecond / this.entries.size() : (entry.number == 0) ? perSecond : 0;
		}
	}

	/**
	 * Stop half of the entries for a while; the others receive their requests. Stopped
	 * entries lose their state.
	 * @param from the time at which they stop, in milliseconds
	 * @param until the time at which they start again, in milliseconds
	 */
	void restartHalf(long from, long until) {
		List<Entry> half = this.entries.subList(this.entries.size() / 2, this.entries.size());
		this.timers.schedule(from, (t) -> {
			this.entries.forEach((e) -> e.perSecond *= 2);
			half.forEach((e) -> e.isRunning = false);
		});
		this.timers.schedule(until, (t) -> {
			this.entries.forEach((e) -> e.perSecond /= 2);
			half.forEach(Entry::restart);
		});
	}

	/**
	 * Multiply the rate of client requests for two seconds.
	 * @param at the start in milliseconds
	 * @param times the factor
	 */
	void burst(long at, double times) {
		this.timers.schedule(at, (t) -> this.entries.forEach((e) -> e.perSecond *= times));
		this.timers.schedule(at + 2_000, (t) -> this.entries.forEach((e) -> e.perSecond /= times));
	}

	LimitedFleet run(long millis) {
		for (this.now = 0; this.now < millis; this.now += STEP_MILLIS) {
			this.timers.run(this.now);
			for (Entry entry : this.entries) {
				if (entry.isRunning && this.random.nextDouble() < entry.perSecond * STEP_MILLIS / 1_000) {
					entry.handleClientRequest();
				}
			}
		}
		return this;
	}

	/**
	 * Compute the highest number of requests within any four seconds, relative to what
	 * the limit allows.
	 * @return the ratio; above 1 if the limit was exceeded
	 */
	double peakRatio() {
		Deque<Long> window = new ArrayDeque<>();
		int peak = 0;
		for (long at : this.arrivals) {
			if (at >= CHECKED_FROM_MILLIS) {
				window.add(at);
				while (window.peekFirst() <= at - WINDOW_MILLIS) {
					window.removeFirst();
				}
				peak = Math.max(peak, window.size());
			}
		}
		return peak / (1.5 * this.limit * WINDOW_MILLIS / 1_000 + 5);
	}

	/**
	 * Compute the used part of the limit or, if lower, of the demand.
	 * @return the ratio, from the time at which the limit is checked
	 */
	double utilization() {
		long sent = this.arrivals.stream().filter((t) -> t >= CHECKED_FROM_MILLIS).count();
		return sent / Math.min(this.clientRequests, this.limit * (this.now - CHECKED_FROM_MILLIS) / 1_000);
	}

	private int runningEntries() {
		return (int) this.entries.stream().filter((e) -> e.isRunning).count();
	}

	/**
	 * Strategies for sharing a limit between entries.
	 */
	enum Sharing {

		/** Each entry uses the full limit. */
		WHOLE,

		/** Equal shares. */
		EQUAL,

		/** Shares in proportion to the requests of each entry. */
		REQUESTS,

		/** Shares in proportion to requests, with random initial permits. */
		REQUESTS_RANDOM

	}

	private final class Entry {

		private final int number;

		private final double phase;

		private boolean isRunning = true;

		private double perSecond;

		private TargetRateLimits limits;

		private final Deque<Long> requests = new ArrayDeque<>();

		/** The number of requests in the latest heartbeat. */
		private long reportedRequests;

		Entry(int number, double phase) {
			this.number = number;
			this.phase = phase;
			initialize();
			LimitedFleet.this.timers.schedule(LimitedFleet.this.random.nextLong(HEARTBEAT_MILLIS), this::heartbeat);
		}

		private void initialize() {
			ProportionalShare byRequests = new ProportionalShare(LimitedFleet.this::runningEntries,
					(s, t) -> OptionalLong.of(this.requests.size()), (s, t) -> OptionalLong.of(reportedByOthers()));
			RateLimitShare share = switch (LimitedFleet.this.sharing) {
				case WHOLE -> (s, t) -> 1;
				case EQUAL -> (s, t) -> 1.0 / runningEntries();
				case REQUESTS, REQUESTS_RANDOM -> byRequests;
			};
			this.limits = new TargetRateLimits(share, (t) -> this.phase);
		}

		void restart() {
			this.requests.clear();
			this.reportedRequests = 0;
			initialize();
			this.isRunning = true;
		}

		private long reportedByOthers() {
			return LimitedFleet.this.entries.stream()
				.filter((e) -> e != this && e.isRunning)
				.mapToLong((e) -> e.reportedRequests)
				.sum();
		}

		private void heartbeat(long at) {
			removeOld(at);
			if (this.isRunning && !isLost()) {
				this.reportedRequests = this.requests.size();
				broadcast(this.limits.updates(at));
			}
			LimitedFleet.this.timers.schedule(at + HEARTBEAT_MILLIS, this::heartbeat);
		}

		private void broadcast(List<RateLimitUpdate> update) {
			if (update.isEmpty()) {
				return;
			}
			List<Entry> receivers = LimitedFleet.this.entries.stream()
				.filter((e) -> e != this && e.isRunning && !isLost())
				.toList();
			LimitedFleet.this.timers.schedule(LimitedFleet.this.now + LATENCY_MILLIS,
					(t) -> receivers.forEach((e) -> update.forEach((n) -> e.limits.recordGossiped(n, t))));
		}

		private boolean isLost() {
			return LimitedFleet.this.random.nextDouble() < LimitedFleet.this.lossRate;
		}

		private void removeOld(long at) {
			while (!this.requests.isEmpty() && this.requests.peekFirst() <= at - DEMAND_WINDOW_MILLIS) {
				this.requests.removeFirst();
			}
		}

		void handleClientRequest() {
			long at = LimitedFleet.this.now;
			removeOld(at);
			this.requests.add(at);
			LimitedFleet.this.clientRequests += (at >= CHECKED_FROM_MILLIS) ? 1 : 0;
			if (this.limits.waitMillis(LimitedFleet.this.target, at) > 0) {
				return;
			}
			this.limits.recordSent(LimitedFleet.this.target, at);
			LimitedFleet.this.arrivals.add(at);
			TargetRateLimits limitsAtSend = this.limits;
			LimitedFleet.this.timers.schedule(at + RESPONSE_MILLIS, (t) -> handleResponse(limitsAtSend, at, t));
		}

		private void handleResponse(TargetRateLimits limitsAtSend, long sentAt, long at) {
			OptionalDouble advertised = (at >= FIRST_LIMIT_MILLIS) ? OptionalDouble.of(LimitedFleet.this.limit)
					: OptionalDouble.empty();
			if (limitsAtSend.recordReported(LimitedFleet.this.target, advertised, sentAt, at)) {
				broadcast(this.limits.updates(at));
			}
		}

	}

}
