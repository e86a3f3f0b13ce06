package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;

import dev.laneworks.core.poison.PoisonSettings;

/**
 * Prints a table that compares the costs and benefits of quarantine thresholds; run by
 * {@code bin/poisoned-fleet}.
 */
public final class PoisonedFleetReport {

	private static final long MILLIS = 60_000;

	private PoisonedFleetReport() {
	}

	/**
	 * Print the table.
	 * @param args the number of seeds
	 */
	public static void main(String[] args) {
		int seeds = Integer.parseInt(args[0]);
		PoisonSettings defaultSettings = PoisonSettings.defaults();
		for (Variant variant : List.of(
				new Variant("three crashes, never cleared", new PoisonSettings(3, Long.MAX_VALUE / 4, 600_000)),
				new Variant("three crashes, cleared by running", defaultSettings),
				new Variant("two crashes, never cleared", new PoisonSettings(2, Long.MAX_VALUE / 4, 600_000)),
				new Variant("two crashes, cleared by running", new PoisonSettings(2, 2_000, 600_000)))) {
			line("none harmful, a crash every 3.3 s", variant, seeds, (f) -> f.crashEvery(3_300));
			line("none harmful, a crash every 0.5 s", variant, seeds, (f) -> f.crashEvery(500));
			line("none harmful, a third crashes at once", variant, seeds, (f) -> f.crashThirdAt(30_000));
			line("one harmful", variant, seeds, (f) -> f.sendHarmful(1));
			line("twenty harmful", variant, seeds, (f) -> f.sendHarmful(20));
			line("one harmful, a crash every 0.5 s", variant, seeds, (f) -> {
				f.sendHarmful(1);
				f.crashEvery(500);
			});
			line("twenty harmful, a crash every 3.3 s", variant, seeds, (f) -> {
				f.sendHarmful(20);
				f.crashEvery(3_300);
			});
		}
	}

	private static void line(String scenario, Variant variant, int seeds, Consumer<PoisonedFleet> faults) {
		List<PoisonedFleet> fleets = IntStream.rangeClosed(1, seeds)
			.parallel()
			.mapToObj((seed) -> PoisonedFleet.play(variant.settings, seed, MILLIS, faults))
			.toList();
		System.out.printf("| %s | %s | %d | %d | %d | %d of %d | %d | %d |%n", variant.name, scenario,
				sum(fleets, (f) -> f.crashedByHarmful), sum(fleets, (f) -> f.sentDuringDetection),
				sum(fleets, (f) -> f.sentAfterDetection), sum(fleets, (f) -> f.harmlessRefused),
				sum(fleets, PoisonedFleet::harmlessRequests),
				fleets.stream().mapToLong((f) -> f.gossipBytes).sum() * 1_000 / MILLIS / seeds / 4,
				fleets.stream().mapToInt(PoisonedFleet::maxSuspects).max().orElse(0));
	}

	private static int sum(List<PoisonedFleet> fleets, ToIntFunction<PoisonedFleet> figure) {
		return fleets.stream().mapToInt(figure).sum();
	}

	private record Variant(String name, PoisonSettings settings) {

	}

}
