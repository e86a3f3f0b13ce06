package dev.laneworks.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Arrivals made from a seed.
 *
 * @param name the trace's name
 * @param engines the number of engines
 * @param capacityTokens the memory of each
 * @param horizonMillis how long it goes on
 * @param arrivals the requests in the order in which they come
 */
record MadeTrace(String name, int engines, long capacityTokens, long horizonMillis, List<Arrival> arrivals) {

	private static final int LIVE = 3;

	private static final int OVERNIGHT = 0;

	private static final long LIVE_PATIENCE = 30_000;

	private static final long OVERNIGHT_PATIENCE = 3_600_000;

	private static final int LONGEST = 30_000;

	// Live transcripts beside an overnight pile of summaries.
	static MadeTrace lantern(long seed, double load) {
		Maker maker = new Maker(seed, 240_000);
		maker.stream(LIVE, 10 * load, 300, 150, 0.7, 10, LIVE_PATIENCE);
		maker.pile(OVERNIGHT, (int) (700 * load), 1_500, 400, 1.0, 6);
		return maker.trace("lantern", 6, 40_000);
	}

	// Live answers about parcels, some of them long histories.
	static MadeTrace erongo(long seed, double load) {
		Maker maker = new Maker(seed, 240_000);
		maker.stream(LIVE, 11 * load, 600, 220, 0.9, 10, LIVE_PATIENCE);
		maker.stream(2, 1.5 * load, 800, 900, 0.8, 4, LIVE_PATIENCE);
		return maker.trace("erongo", 6, 40_000);
	}

	// Many accounts, many kinds of length, and giants.
	static MadeTrace twoYears(long seed, double load) {
		Maker maker = new Maker(seed, 240_000);
		maker.stream(LIVE, 20 * load, 400, 150, 0.8, 40, LIVE_PATIENCE);
		maker.stream(2, 6 * load, 1_000, 600, 1.1, 12, LIVE_PATIENCE);
		maker.stream(1, 0.15 * load, 500, 8_000, 0.5, 2, LIVE_PATIENCE);
		maker.pile(OVERNIGHT, (int) (600 * load), 1_500, 400, 1.0, 8);
		return maker.trace("two-years", 12, 60_000);
	}

	// Kept out of tuning: lengths shift suddenly in the middle.
	static MadeTrace shift(long seed, double load) {
		Maker maker = new Maker(seed, 120_000);
		maker.stream(LIVE, 14 * load, 400, 100, 0.6, 8, LIVE_PATIENCE);
		maker.startAt(120_000);
		maker.stream(LIVE, 5 * load, 400, 900, 0.6, 8, LIVE_PATIENCE);
		return maker.trace("shift", 6, 40_000);
	}

	/**
	 * Adds up arrivals of several kinds.
	 */
	private static final class Maker {

		private final SplittableRandom random;

		private final List<Arrival> arrivals = new ArrayList<>();

		private final long spanMillis;

		private long startMillis;

		private int kinds;

		Maker(long seed, long spanMillis) {
			this.random = new SplittableRandom(seed);
			this.spanMillis = spanMillis;
		}

		void startAt(long millis) {
			this.startMillis = millis;
		}

		void stream(int priority, double perSecond, int prompt, int median, double sigma, int accounts, long patience) {
			this.kinds++;
			double at = this.startMillis;
			while (true) {
				at += -Math.log(1 - this.random.nextDouble()) * 1000 / perSecond;
				if (at >= this.startMillis + this.spanMillis) {
					return;
				}
				add((long) at, priority, prompt, median, sigma, accounts, patience);
			}
		}

		void pile(int priority, int count, int prompt, int median, double sigma, int accounts) {
			this.kinds++;
			for (int i = 0; i < count; i++) {
				add(this.random.nextInt(10_000), priority, prompt, median, sigma, accounts, OVERNIGHT_PATIENCE);
			}
		}

		MadeTrace trace(String name, int engines, long capacity) {
			List<Arrival> sorted = this.arrivals.stream().sorted(Comparator.comparingLong(Arrival::atMillis)).toList();
			return new MadeTrace(name, engines, capacity, this.startMillis + this.spanMillis, sorted);
		}

		private void add(long at, int priority, int prompt, int median, double sigma, int accounts, long patience) {
			// A third of the requests come from the first account: a few accounts are
			// large.
			int account = (this.random.nextInt(3) == 0) ? 0 : this.random.nextInt(accounts);
			int length = (int) Math.max(1, Math.min(LONGEST, median * Math.exp(sigma * normal())));
			int promptTokens = Math.max(20, (int) (prompt * (0.5 + this.random.nextDouble())));
			this.arrivals.add(
					new Arrival(at, "account-" + this.kinds + '-' + account, priority, promptTokens, length, patience));
		}

		private double normal() {
			double u1 = 1 - this.random.nextDouble();
			return Math.sqrt(-2 * Math.log(u1)) * Math.cos(2 * Math.PI * this.random.nextDouble());
		}

	}

}
