package dev.laneworks.core.shares;

import java.util.DoubleSummaryStatistics;
import java.util.Locale;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import dev.laneworks.core.shares.SharedFleet.Order;
import dev.laneworks.core.shares.SharedFleet.Victim;

/**
 * Compares ways to use fair shares in the simulation {@link SharedFleet}.
 */
public final class SharedFleetReport {

	/** The account that floods asks for little otherwise. */
	private static final int FLOODER = 9;

	private static final double LOAD = 1.4;

	private static final double FLOOD_LOAD = 3;

	/** The memory of 30 engines that serve 4 or 30 entries; more entries have more. */
	private static final long MEMORY_TOKENS = 660_000;

	private SharedFleetReport() {
	}

	/**
	 * Print a table.
	 * @param args the number of seeds and the numbers of entries
	 */
	public static void main(String[] args) {
		int seeds = Integer.parseInt(args[0]);
		System.out
			.println("| entries | flood | order | refused when full | leaves memory | least served below the share"
					+ " | below 0.8 of it | goodput by that in order of arrival |");
		for (int i = 1; i < args.length; i++) {
			int entries = Integer.parseInt(args[i]);
			compare(seeds, entries, 0);
			compare(seeds, entries, FLOOD_LOAD);
		}
	}

	private static void compare(int seeds, int entries, double flood) {
		SharedFleet[] base = runs(seeds, entries, flood, new Way(Order.ARRIVAL, Victim.LAST, false));
		print(entries, flood, new Way(Order.ARRIVAL, Victim.LAST, false), base, base);
		for (Order order : new Order[] { Order.THRESHOLD, Order.STRICT }) {
			Way[] ways = { new Way(order, Victim.LAST, false), new Way(order, Victim.LAST, true),
					new Way(order, Victim.LARGEST_DEMAND, true) };
			for (Way way : ways) {
				print(entries, flood, way, base, runs(seeds, entries, flood, way));
			}
		}
	}

	static SharedFleet run(int entries, double flood, Way way, long seed) {
		SharedFleet fleet = new SharedFleet(entries, MEMORY_TOKENS * Math.max(1, entries / 30), way.order(),
				way.victim(), way.leavesMemory(), seed);
		fleet.run(LOAD, flood, (flood > 0) ? FLOODER : -1, (entries > 100) ? 30_000 : 60_000);
		return fleet;
	}

	private static SharedFleet[] runs(int seeds, int entries, double flood, Way way) {
		return LongStream.range(0, seeds)
			.parallel()
			.mapToObj((s) -> run(entries, flood, way, s))
			.toArray(SharedFleet[]::new);
	}

	private static void print(int entries, double flood, Way way, SharedFleet[] base, SharedFleet[] runs) {
		System.out.printf(Locale.ROOT, "| %d | %s | %s | %s | %s | %s | %s | %s |%n", entries, flood > 0, way.order(),
				way.victim(), way.leavesMemory(), worstAndMean(runs, (i) -> runs[i].worstBelowShare(1)),
				worstAndMean(runs, (i) -> runs[i].worstBelowShare(0.8)),
				worstAndMean(runs, (i) -> runs[i].goodput() / base[i].goodput()));
	}

	private static String worstAndMean(SharedFleet[] runs, IntToDoubleFunction figure) {
		DoubleSummaryStatistics statistics = IntStream.range(0, runs.length).mapToDouble(figure).summaryStatistics();
		return String.format(Locale.ROOT, "%.3f %.3f", statistics.getMin(), statistics.getAverage());
	}

	/**
	 * Way to use the shares.
	 *
	 * @param order the order of the queues
	 * @param victim the request to refuse when a queue is full
	 * @param leavesMemory whether accounts above their shares leave memory free for
	 * requests that are queued at other entries
	 */
	record Way(Order order, Victim victim, boolean leavesMemory) {

	}

}
