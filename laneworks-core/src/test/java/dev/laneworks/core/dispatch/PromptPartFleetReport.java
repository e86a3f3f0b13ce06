package dev.laneworks.core.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import dev.laneworks.core.poison.PartSettings;

/**
 * Prints a table that compares the costs and benefits of the quarantine of prompt parts;
 * run by {@code bin/prompt-part-fleet}.
 */
public final class PromptPartFleetReport {

	static final long MILLIS = 40_000;

	/** The time at which harmful requests begin. */
	static final long HARM_FROM_MILLIS = 5_000;

	private PromptPartFleetReport() {
	}

	/**
	 * Print the table.
	 * @param args the number of seeds, the number of entries and the number of engines
	 */
	public static void main(String[] args) {
		int seeds = Integer.parseInt(args[0]);
		int entries = Integer.parseInt(args[1]);
		int engines = Integer.parseInt(args[2]);
		Map<String, PartSettings> variants = new LinkedHashMap<>();
		variants.put("four crashes", PartSettings.defaults());
		if (args.length > 3) {
			variants.put("three crashes", new PartSettings(3, 5, 50, 60_000, 1_000, 3_600_000, 600_000));
			variants.put("five crashes", new PartSettings(5, 7, 50, 60_000, 1_000, 3_600_000, 600_000));
			variants.put("four crashes, earlier successes do not matter",
					new PartSettings(4, 4, 50, 60_000, 1_000, 3_600_000, 600_000));
			variants.put("no quarantine of parts",
					new PartSettings(10_000, 10_000, 50, 60_000, 1_000, 3_600_000, 600_000));
			variants.put("four crashes, each counts", new PartSettings(4, 6, 0, 60_000, 1_000, 3_600_000, 600_000));
		}
		variants.forEach((name, settings) -> scenarios()
			.forEach((scenario, faults) -> line(name, scenario, seeds, entries, engines, settings, faults)));
	}

	static Map<String, Consumer<PoisonedFleet>> scenarios() {
		Map<String, Consumer<PoisonedFleet>> all = new LinkedHashMap<>();
		all.put("none harmful, a crash every 2.5 s", (f) -> f.crashEvery(2_500));
		all.put("none harmful, a crash every 0.5 s", (f) -> f.crashEvery(500));
		all.put("none harmful, a crash every 0.25 s", (f) -> f.crashEvery(250));
		all.put("none harmful, a third crashes at once", (f) -> f.crashThirdAt(15_000));
		all.put("in the middle", (f) -> harm(f, "bad", 200, 1, PromptPartFleetReport::middle));
		all.put("in the middle, from the start",
				(f) -> f.sendHarmfulPart(0, "bad", 200, 1, PromptPartFleetReport::middle));
		all.put("in the middle, once in 2 s", (f) -> harm(f, "bad", 2_000, 1, PromptPartFleetReport::middle));
		all.put("first", (f) -> harm(f, "bad", 200, 1, (first, second, bad) -> List.of(bad, second)));
		all.put("always with the same parts",
				(f) -> harm(f, "bad", 200, 1, (first, second, bad) -> List.of("first0", bad, "second0")));
		all.put("beside a part of all requests, two parts", (f) -> {
			f.partOfAll = List.of("all");
			harm(f, "bad", 400, 1, (first, second, bad) -> List.of("all", bad));
			harm(f, "worse", 400, 1, (first, second, bad) -> List.of("all", bad, first));
		});
		all.put("of five accounts", (f) -> harm(f, "bad", 200, 5, PromptPartFleetReport::middle));
		all.put("two parts", (f) -> {
			harm(f, "bad", 400, 1, PromptPartFleetReport::middle);
			harm(f, "worse", 400, 1, PromptPartFleetReport::middle);
		});
		all.put("a harmless part turns harmful", (f) -> f.turnHarmful(HARM_FROM_MILLIS, "second7"));
		all.put("in the middle, a crash every 2.5 s", (f) -> {
			harm(f, "bad", 200, 1, PromptPartFleetReport::middle);
			f.crashEvery(2_500);
		});
		all.put("in the middle, plain closes", (f) -> {
			f.closesPlainly = true;
			harm(f, "bad", 200, 1, PromptPartFleetReport::middle);
		});
		all.put("in the middle, news 0.5 s late, a third lost", (f) -> {
			f.datagramMillis = 500;
			f.datagramLoss = 0.33;
			harm(f, "bad", 200, 1, PromptPartFleetReport::middle);
		});
		all.put("in the middle, an entry starts 4 s later", (f) -> {
			harm(f, "bad", 200, 1, PromptPartFleetReport::middle);
			f.startEntryAt(HARM_FROM_MILLIS + 4_000);
		});
		return all;
	}

	private static void harm(PoisonedFleet fleet, String part, long meanMillis, int accounts,
			PoisonedFleet.PromptShape shape) {
		fleet.sendHarmfulPart(HARM_FROM_MILLIS, part, meanMillis, accounts, shape);
	}

	private static List<String> middle(String first, String second, String harmful) {
		return List.of(first, harmful);
	}

	private static void line(String variant, String scenario, int seeds, int entries, int engines,
			PartSettings settings, Consumer<PoisonedFleet> faults) {
		List<PoisonedFleet> fleets = IntStream.rangeClosed(1, seeds)
			.parallel()
			.mapToObj((seed) -> PoisonedFleet.playParts(entries, engines, settings, seed, MILLIS, faults))
			.toList();
		int harmless = fleets.stream().mapToInt(PoisonedFleet::harmlessRequests).sum();
		System.out.printf("| %s | %s | %.1f | %d | %d of %d | %.3f | %d |%n", variant, scenario,
				fleets.stream().mapToInt((f) -> f.crashedByHarmful).average().orElse(0),
				fleets.stream().mapToInt(PoisonedFleet::partSentLate).max().orElse(0),
				fleets.stream().mapToInt((f) -> f.harmlessRefused).sum(), harmless,
				fleets.stream().mapToInt((f) -> f.harmlessCompleted).sum() / (double) harmless,
				fleets.stream().mapToLong((f) -> f.gossipBytes).sum() * 1_000 / MILLIS / seeds / entries);
	}

}
