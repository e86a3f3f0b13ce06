package dev.laneworks.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Request trace generated from a seed.
 *
 * @param name the name of the kind of trace
 * @param engines the number of engines that serve the trace
 * @param capacityTokens the memory of each engine in tokens
 * @param horizonMillis the duration of the replay in milliseconds
 * @param arrivals the requests in order of arrival
 */
record GeneratedTrace(String name, int engines, long capacityTokens, long horizonMillis, List<Arrival> arrivals) {

	private static final int INTERACTIVE_PRIORITY = 3;

	private static final int BATCH_PRIORITY = 0;

	private static final long INTERACTIVE_TIMEOUT_MILLIS = 30_000;

	private static final long BATCH_TIMEOUT_MILLIS = 3_600_000;

	private static final int MAX_LENGTH = 30_000;

	// Short interactive requests with a backlog of batch requests.
	static GeneratedTrace interactiveWithBatch(long seed, double load) {
		Generator generator = new Generator(seed, 240_000);
		generator.addArrivals(INTERACTIVE_PRIORITY, 10 * load, 300, 150, 0.7, 10, INTERACTIVE_TIMEOUT_MILLIS);
		generator.addBatch(BATCH_PRIORITY, (int) (700 * load), 1_500, 400, 1.0, 6);
		return generator.trace("lantern", 6, 40_000);
	}

	// Interactive requests, some of them with long outputs.
	static GeneratedTrace interactiveWithLongOutputs(long seed, double load) {
		Generator generator = new Generator(seed, 240_000);
		generator.addArrivals(INTERACTIVE_PRIORITY, 11 * load, 600, 220, 0.9, 10, INTERACTIVE_TIMEOUT_MILLIS);
		generator.addArrivals(2, 1.5 * load, 800, 900, 0.8, 4, INTERACTIVE_TIMEOUT_MILLIS);
		return generator.trace("erongo", 6, 40_000);
	}

	// Many client accounts and length distributions, with a few very long outputs.
	static GeneratedTrace manyAccounts(long seed, double load) {
		Generator generator = new Generator(seed, 240_000);
		generator.addArrivals(INTERACTIVE_PRIORITY, 20 * load, 400, 150, 0.8, 40, INTERACTIVE_TIMEOUT_MILLIS);
		generator.addArrivals(2, 6 * load, 1_000, 600, 1.1, 12, INTERACTIVE_TIMEOUT_MILLIS);
		generator.addArrivals(1, 0.15 * load, 500, 8_000, 0.5, 2, INTERACTIVE_TIMEOUT_MILLIS);
		generator.addBatch(BATCH_PRIORITY, (int) (600 * load), 1_500, 400, 1.0, 8);
		return generator.trace("two-years", 12, 60_000);
	}

	// Interactive requests whose lengths change abruptly in the middle of the trace.
	static GeneratedTrace lengthShift(long seed, double load) {
		Generator generator = new Generator(seed, 120_000);
		generator.addArrivals(INTERACTIVE_PRIORITY, 14 * load, 400, 100, 0.6, 8, INTERACTIVE_TIMEOUT_MILLIS);
		generator.startAt(120_000);
		generator.addArrivals(INTERACTIVE_PRIORITY, 5 * load, 400, 900, 0.6, 8, INTERACTIVE_TIMEOUT_MILLIS);
		return generator.trace("shift", 6, 40_000);
	}

	/**
	 * Generator that combines several kinds of arrivals.
	 */
	private static final class Generator {

		private final SplittableRandom random;

		private final List<Arrival> arrivals = new ArrayList<>();

		private final long spanMillis;

		private long startMillis;

		private int kindCount;

		Generator(long seed, long spanMillis) {
			this.random = new SplittableRandom(seed);
			this.spanMillis = spanMillis;
		}

		void startAt(long millis) {
			this.startMillis = millis;
		}

		void addArrivals(int priority, double perSecond, int prompt, int median, double sigma, int accounts,
				long timeoutMillis) {
			this.kindCount++;
			double at = this.startMillis;
			while (true) {
				at += -Math.log(1 - this.random.nextDouble()) * 1000 / perSecond;
				if (at >= this.startMillis + this.spanMillis) {
					return;
				}
				add((long) at, priority, prompt, median, sigma, accounts, timeoutMillis);
			}
		}

		void addBatch(int priority, int count, int prompt, int median, double sigma, int accounts) {
			this.kindCount++;
			for (int i = 0; i < count; i++) {
				add(this.random.nextInt(10_000), priority, prompt, median, sigma, accounts, BATCH_TIMEOUT_MILLIS);
			}
		}

		GeneratedTrace trace(String name, int engines, long capacity) {
			List<Arrival> sorted = this.arrivals.stream().sorted(Comparator.comparingLong(Arrival::atMillis)).toList();
			return new GeneratedTrace(name, engines, capacity, this.startMillis + this.spanMillis, sorted);
		}

		private void add(long at, int priority, int prompt, int median, double sigma, int accounts,
				long timeoutMillis) {
			// Skews the load: at least a third of the requests of each kind come from its
			// first account.
			int account = (this.random.nextInt(3) == 0) ? 0 : this.random.nextInt(accounts);
			int length = (int) Math.max(1, Math.min(MAX_LENGTH, median * Math.exp(sigma * nextGaussian())));
			int promptTokens = Math.max(20, (int) (prompt * (0.5 + this.random.nextDouble())));
			this.arrivals.add(new Arrival(at, "account-" + this.kindCount + '-' + account, priority, promptTokens,
					length, timeoutMillis));
		}

		private double nextGaussian() {
			double u1 = 1 - this.random.nextDouble();
			return Math.sqrt(-2 * Math.log(u1)) * Math.cos(2 * Math.PI * this.random.nextDouble());
		}

	}

}
