package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import dev.laneworks.core.dispatch.OverloadedFleet.Kind;
import dev.laneworks.core.dispatch.OverloadedFleet.Outcome;
import dev.laneworks.core.waiting.WaitingOrder;

/**
 * Prints a table of what callers get while engines are reclaimed, for each order of the
 * queue and without one; run by {@code bin/reclaimed-fleet}.
 */
public final class ReclaimedFleetReport {

	private static final long BURST_FROM_MILLIS = 10_000;

	private static final long BURST_TO_MILLIS = 17_000;

	private static final long ARRIVALS_TO_MILLIS = 35_000;

	private ReclaimedFleetReport() {
	}

	/**
	 * Print the table.
	 * @param args the number of seeds
	 */
	public static void main(String[] args) {
		System.out.println("| queue | kind | callers | in time | late | refused | failed | refused at least once |");
		System.out.println("|---|---|---|---|---|---|---|---|");
		report(Optional.empty(), Integer.parseInt(args[0]));
		for (WaitingOrder order : WaitingOrder.values()) {
			report(Optional.of(order), Integer.parseInt(args[0]));
		}
	}

	private static void report(Optional<WaitingOrder> order, int seeds) {
		List<OverloadedFleet> fleets = simulate(order, seeds);
		for (Kind kind : List.of(Kind.PAGE_SHORT, Kind.PAGE_LONG)) {
			System.out.println("| " + order.map(Enum::name).orElse("none") + " | " + kind + " | "
					+ count(fleets, kind, Outcome.ALL) + " | " + percent(fleets, kind, Outcome.COMPLETE_IN_TIME) + " | "
					+ percent(fleets, kind, Outcome.COMPLETE_LATE) + " | "
					+ percent(fleets, kind, Outcome.REFUSED_FINALLY) + " | " + percent(fleets, kind, Outcome.FAILED)
					+ " | " + percent(fleets, kind, Outcome.REFUSED) + " |");
		}
	}

	static List<OverloadedFleet> simulate(Optional<WaitingOrder> order, int seeds) {
		return LongStream.rangeClosed(1, seeds).mapToObj((seed) -> {
			OverloadedFleet fleet = new OverloadedFleet(10, 29, order, seed);
			fleet.scheduleArrivals(Kind.PAGE_LONG, 16.3, 0, BURST_FROM_MILLIS);
			fleet.scheduleArrivals(Kind.PAGE_LONG, 2.4 * 16.3, BURST_FROM_MILLIS, BURST_TO_MILLIS);
			fleet.scheduleArrivals(Kind.PAGE_LONG, 16.3, BURST_TO_MILLIS, ARRIVALS_TO_MILLIS);
			fleet.scheduleArrivals(Kind.PAGE_SHORT, 18.2, 0, ARRIVALS_TO_MILLIS);
			fleet.run(ARRIVALS_TO_MILLIS + Kind.PAGE_LONG.route().timeoutMillis() + 1_000);
			return fleet;
		}).toList();
	}

	static long count(List<OverloadedFleet> fleets, Kind kind, Outcome outcome) {
		return fleets.stream().mapToLong((f) -> f.count(kind, outcome)).sum();
	}

	static double share(List<OverloadedFleet> fleets, Kind kind, Outcome outcome) {
		return (double) count(fleets, kind, outcome) / count(fleets, kind, Outcome.ALL);
	}

	private static String percent(List<OverloadedFleet> fleets, Kind kind, Outcome outcome) {
		return Math.round(1_000 * share(fleets, kind, outcome)) / 10.0 + "%";
	}

}
