package dev.laneworks.core.backpressure;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import dev.laneworks.core.backpressure.LimitedFleet.Sharing;

/**
 * Prints a table of the peak rate and the utilization under each sharing strategy; run by
 * {@code bin/limited-fleet}.
 */
public final class LimitedFleetReport {

	private static final long MILLIS = 64_000;

	private LimitedFleetReport() {
	}

	/**
	 * Print the table.
	 * @param args the number of seeds
	 */
	public static void main(String[] args) {
		int seeds = Integer.parseInt(args[0]);
		System.out.println("| way | entries | limit a second | trouble | most in 4 s of what is allowed"
				+ " | seeds over it | part used, mean | worst seed |");
		System.out.println("|---|---|---|---|---|---|---|---|");
		for (Sharing sharing : Sharing.values()) {
			for (int entries : new int[] { 4, 33, 300 }) {
				for (double limit : new double[] { 0.2, 3, 30 }) {
					report(new Setting(sharing, entries, limit, seeds));
				}
			}
		}
	}

	private static void report(Setting setting) {
		double demand = Math.max(20, 4 * setting.limit);
		line(setting, "even", 0, (f) -> f.demand(demand, true));
		line(setting, "all at one", 0, (f) -> f.demand(demand, false));
		line(setting, "3% lost", 0.03, (f) -> f.demand(demand, true));
		line(setting, "30% lost", 0.3, (f) -> f.demand(demand, true));
		line(setting, "half end and return, 3% lost", 0.03, (f) -> {
			f.demand(demand, true);
			f.restartHalf(20_000, 40_000);
		});
		line(setting, "a crowd behind calm", 0, (f) -> {
			f.demand(demand / 20, true);
			f.burst(40_000, 20);
		});
		line(setting, "demand of 0.8 of it", 0, (f) -> f.demand(0.8 * setting.limit, true));
	}

	private static void line(Setting setting, String scenario, double lossRate, Consumer<LimitedFleet> setUp) {
		List<LimitedFleet> fleets = IntStream.rangeClosed(1, setting.seeds).parallel().mapToObj((seed) -> {
			LimitedFleet fleet = new LimitedFleet(setting.sharing, setting.entries, setting.limit, lossRate, seed);
			setUp.accept(fleet);
			return fleet.run(MILLIS);
		}).toList();
		System.out.printf("| %s | %d | %.1f | %s | %.2f | %d | %.2f | %.2f |%n", setting.sharing, setting.entries,
				setting.limit, scenario, fleets.stream().mapToDouble(LimitedFleet::peakRatio).max().orElse(0),
				fleets.stream().filter((f) -> f.peakRatio() > 1).count(),
				fleets.stream().mapToDouble(LimitedFleet::utilization).average().orElse(0),
				fleets.stream().mapToDouble(LimitedFleet::utilization).min().orElse(0));
	}

	private record Setting(Sharing sharing, int entries, double limit, int seeds) {

	}

}
