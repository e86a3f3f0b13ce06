package dev.laneworks.core.dispatch;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import dev.laneworks.core.dispatch.OverloadedFleet.Kind;
import dev.laneworks.core.dispatch.OverloadedFleet.Outcome;
import dev.laneworks.core.waiting.WaitingOrder;
import org.junit.jupiter.api.Test;

class ReclaimedFleetTests {

	@Test
	void table() {
		int seeds = Integer.getInteger("seeds", 2);
		for (Optional<WaitingOrder> order : List.of(Optional.<WaitingOrder>empty(),
				Optional.of(WaitingOrder.LEAST_SLACK), Optional.of(WaitingOrder.SHORTEST_FIRST))) {
			long t = System.nanoTime();
			List<OverloadedFleet> fleets = LongStream.rangeClosed(1, seeds)
				.parallel()
				.mapToObj((s) -> simulate(order, s))
				.toList();
			for (Kind kind : List.of(Kind.PAGE_LONG, Kind.PAGE_SHORT)) {
				StringBuilder line = new StringBuilder(order + " " + kind);
				for (Outcome o : Arrays.asList(Outcome.ALL, Outcome.IN_TIME, Outcome.COMPLETE_IN_TIME,
						Outcome.COMPLETE_LATE, Outcome.REFUSED_FINALLY, Outcome.FAILED, Outcome.REFUSED)) {
					line.append(" ")
						.append(o)
						.append("=")
						.append(fleets.stream().mapToLong((f) -> f.count(kind, o)).sum());
				}
				System.out.println("TABLE " + line);
			}
			fleets.get(0)
				.causes()
				.entrySet()
				.stream()
				.filter((e) -> e.getValue() > 5)
				.forEach((e) -> System.out.println("TABLE   " + e.getValue() + " " + e.getKey()));
			System.out.println("TABLE took " + (System.nanoTime() - t) / 1_000_000);
		}
	}

	private static OverloadedFleet simulate(Optional<WaitingOrder> order, long seed) {
		OverloadedFleet fleet = new OverloadedFleet(10, 29, order, seed);
		fleet.scheduleArrivals(Kind.PAGE_LONG, 16.3, 0, 10_000);
		fleet.scheduleArrivals(Kind.PAGE_LONG, 2.4 * 16.3, 10_000, 17_000);
		fleet.scheduleArrivals(Kind.PAGE_LONG, 16.3, 17_000, 35_000);
		fleet.scheduleArrivals(Kind.PAGE_SHORT, 18.2, 0, 35_000);
		fleet.run(75_000);
		return fleet;
	}

}
