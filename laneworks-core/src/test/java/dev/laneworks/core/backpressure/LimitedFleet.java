package dev.laneworks.core.backpressure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.gossip.LimitNews;
import dev.laneworks.core.time.Timers;

/**
 * Entries in virtual time that share the limit of one target, to which they send whatever
 * they may, and the rest elsewhere.
 * <p>
 * The target answers after 80 ms and names its limit in each answer from one second on.
 * Entries hear of each other 2 ms late, and miss a part of the datagrams: what is told at
 * once, and the heartbeats of each second with the requests of the last ten.
 */
final class LimitedFleet {

	private static final long STEP_MILLIS = 5;

	private static final long ANSWER_MILLIS = 80;

	private static final long WAY_MILLIS = 2;

	private static final long HEARTBEAT_MILLIS = 1_000;

	private static final long DEMAND_MILLIS = 10_000;

	/** From when on the limit is named, and when it binds all entries that are told. */
	private static final long NAMED_MILLIS = 1_000;

	private static final long BINDS_MILLIS = NAMED_MILLIS + 3_000;

	private static final long WINDOW_MILLIS = 4_000;

	private final ListedTarget target = new ListedTarget("t", "s", "10.0.0.1", 80, "dc", 6, false);

	private final Timers timers = new Timers();

	private final SplittableRandom random;

	private final Way way;

	private final double limit;

	private final double lost;

	private final List<Entry> entries = new ArrayList<>();

	/** When requests reached the target. */
	private final List<Long> arrivals = new ArrayList<>();

	private long now;

	/** The requests that callers made behind the time at which the limit binds. */
	int asked;

	LimitedFleet(Way way, int entries, double limit, double lost, long seed) {
		this.way = way;
		this.limit = limit;
		this.lost = lost;
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < entries; i++) {
			this.entries
				.add(new Entry(i, (way == Way.REQUESTS_RANDOM) ? this.random.nextDouble() : (i + 0.5) / entries));
		}
	}

	/**
	 * Let callers come to all entries alike, or to the first one alone.
	 * @param aSecond their requests a second
	 * @param isEven whether they come to all entries
	 */
	void demand(double aSecond, boolean isEven) {
		for (Entry entry : this.entries) {
			entry.aSecond = isEven ? aSecond / this.entries.size() : (entry.number == 0) ? aSecond : 0;
		}
	}

	/**
	 * Let half of the entries end for a while; their callers go to the others. Those that
	 * come back know nothing.
	 * @param from when they end, in milliseconds
	 * @param until when they are back, in milliseconds
	 */
	void endHalf(long from, long until) {
		List<Entry> half = this.entries.subList(this.entries.size() / 2, this.entries.size());
		this.timers.at(from, (t) -> {
			this.entries.forEach((e) -> e.aSecond *= 2);
			half.forEach((e) -> e.isUp = false);
		});
		this.timers.at(until, (t) -> {
			this.entries.forEach((e) -> e.aSecond /= 2);
			half.forEach(Entry::startAgain);
		});
	}

	/**
	 * Let callers press for two seconds.
	 * @param at from when on, in milliseconds
	 * @param times how many times as many requests come
	 */
	void crowd(long at, double times) {
		this.timers.at(at, (t) -> this.entries.forEach((e) -> e.aSecond *= times));
		this.timers.at(at + 2_000, (t) -> this.entries.forEach((e) -> e.aSecond /= times));
	}

	LimitedFleet run(long millis) {
		for (this.now = 0; this.now < millis; this.now += STEP_MILLIS) {
			this.timers.run(this.now);
			for (Entry entry : this.entries) {
				if (entry.isUp && this.random.nextDouble() < entry.aSecond * STEP_MILLIS / 1_000) {
					entry.ask();
				}
			}
		}
		return this;
	}

	/**
	 * Return the most requests in any four seconds, over what is allowed.
	 * @return their ratio
	 */
	double mostOfAllowed() {
		Deque<Long> window = new ArrayDeque<>();
		int most = 0;
		for (long at : this.arrivals) {
			if (at >= BINDS_MILLIS) {
				window.add(at);
				while (window.peekFirst() <= at - WINDOW_MILLIS) {
					window.removeFirst();
				}
				most = Math.max(most, window.size());
			}
		}
		return most / (1.5 * this.limit * WINDOW_MILLIS / 1_000 + 5);
	}

	/**
	 * Return the part of what the target or its callers would have borne that was sent.
	 * @return the part, from the time on at which the limit binds
	 */
	double used() {
		long sent = this.arrivals.stream().filter((t) -> t >= BINDS_MILLIS).count();
		return sent / Math.min(this.asked, this.limit * (this.now - BINDS_MILLIS) / 1_000);
	}

	private int up() {
		return (int) this.entries.stream().filter((e) -> e.isUp).count();
	}

	/**
	 * How entries share a limit.
	 */
	enum Way {

		/** Each entry sends what the limit allows all. */
		WHOLE,

		/** Equal parts of the entries that there are. */
		EQUAL,

		/** Parts by the requests of each entry. */
		REQUESTS,

		/** The same, and entries begin at random instead of by rank. */
		REQUESTS_RANDOM

	}

	private final class Entry {

		private final int number;

		private final double phase;

		private boolean isUp = true;

		private double aSecond;

		private TargetLimits limits;

		private final Deque<Long> requests = new ArrayDeque<>();

		/** What it told of its requests last. */
		private long told;

		Entry(int number, double phase) {
			this.number = number;
			this.phase = phase;
			begin();
			LimitedFleet.this.timers.at(LimitedFleet.this.random.nextLong(HEARTBEAT_MILLIS), this::heartbeat);
		}

		private void begin() {
			RequestShare byRequests = new RequestShare(LimitedFleet.this::up,
					(s, t) -> OptionalLong.of(this.requests.size()), (s, t) -> OptionalLong.of(toldByOthers()));
			DemandShare share = switch (LimitedFleet.this.way) {
				case WHOLE -> (s, t) -> 1;
				case EQUAL -> (s, t) -> 1.0 / up();
				case REQUESTS, REQUESTS_RANDOM -> byRequests;
			};
			this.limits = new TargetLimits(share, (t) -> this.phase);
		}

		void startAgain() {
			this.requests.clear();
			this.told = 0;
			begin();
			this.isUp = true;
		}

		private long toldByOthers() {
			return LimitedFleet.this.entries.stream().filter((e) -> e != this && e.isUp).mapToLong((e) -> e.told).sum();
		}

		private void heartbeat(long at) {
			forget(at);
			if (this.isUp && !isLost()) {
				this.told = this.requests.size();
				tell(this.limits.news(at));
			}
			LimitedFleet.this.timers.at(at + HEARTBEAT_MILLIS, this::heartbeat);
		}

		private void tell(List<LimitNews> news) {
			if (news.isEmpty()) {
				return;
			}
			List<Entry> receivers = LimitedFleet.this.entries.stream()
				.filter((e) -> e != this && e.isUp && !isLost())
				.toList();
			LimitedFleet.this.timers.at(LimitedFleet.this.now + WAY_MILLIS,
					(t) -> receivers.forEach((e) -> news.forEach((n) -> e.limits.heard(n, t))));
		}

		private boolean isLost() {
			return LimitedFleet.this.random.nextDouble() < LimitedFleet.this.lost;
		}

		private void forget(long at) {
			while (!this.requests.isEmpty() && this.requests.peekFirst() <= at - DEMAND_MILLIS) {
				this.requests.removeFirst();
			}
		}

		void ask() {
			long at = LimitedFleet.this.now;
			forget(at);
			this.requests.add(at);
			LimitedFleet.this.asked += (at >= BINDS_MILLIS) ? 1 : 0;
			if (this.limits.freeInMillis(LimitedFleet.this.target, at) > 0) {
				return;
			}
			this.limits.sent(LimitedFleet.this.target, at);
			LimitedFleet.this.arrivals.add(at);
			TargetLimits asking = this.limits;
			LimitedFleet.this.timers.at(at + ANSWER_MILLIS, (t) -> answered(asking, at, t));
		}

		private void answered(TargetLimits asking, long askedAt, long at) {
			OptionalDouble named = (at >= NAMED_MILLIS) ? OptionalDouble.of(LimitedFleet.this.limit)
					: OptionalDouble.empty();
			if (asking.told(LimitedFleet.this.target, named, askedAt, at)) {
				tell(this.limits.news(at));
			}
		}

	}

}
