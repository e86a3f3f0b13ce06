package dev.laneworks.bench.fuzz;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Plays traces against what must always hold.
 */
class FuzzTests {

	private static final Path TRACES = Path.of("..", "traces");

	@Property(seed = "9", tries = 150)
	void promisesHoldInAnyTrace(@ForAll("traces") FuzzTrace trace) {
		trace.play();
	}

	@Test
	void promisesHoldInMadeTraces() {
		for (long seed = 100_000; seed < 100_500; seed++) {
			FuzzTrace.generate(seed).play();
		}
	}

	@ParameterizedTest
	@MethodSource
	void recordedTracesEndAsStated(Path file) throws IOException {
		FuzzTrace.read(Files.readAllLines(file)).play();
	}

	@Test
	void aPlannedStopCutsOffNothing() {
		for (long seed = 1; seed <= 100; seed++) {
			World world = new FuzzTrace(seed, "planned stops", plannedStops(new SplittableRandom(seed))).play();
			for (String outcome : world.outcomes()) {
				assertThat(outcome).matches("whole|not-run .*");
			}
		}
	}

	@Test
	void aTraceReadsBackAsItWasWritten() {
		FuzzTrace trace = FuzzTrace.generate(7);
		assertThat(FuzzTrace.read(trace.write())).isEqualTo(trace);
	}

	static Stream<Path> recordedTracesEndAsStated() throws IOException {
		try (Stream<Path> files = Files.list(TRACES)) {
			return files.sorted().toList().stream();
		}
	}

	@Provide
	Arbitrary<FuzzTrace> traces() {
		Arbitrary<FuzzAction> actions = Arbitraries.longs().map((s) -> FuzzTrace.action(new SplittableRandom(s)));
		Arbitrary<FuzzAction> pauses = Arbitraries.integers().between(0, 1_500).map(FuzzAction.Advance::new);
		return Arbitraries.oneOf(actions, pauses).list().ofMaxSize(80).map((a) -> new FuzzTrace(1, "made by jqwik", a));
	}

	private static List<FuzzAction> plannedStops(SplittableRandom random) {
		List<FuzzAction> actions = new ArrayList<>();
		for (int i = 0; i < 40; i++) {
			actions.add(new FuzzAction.Ask(random.nextInt(2), 1 + random.nextInt(100), random.nextBoolean(), 1));
			if (i % 5 == 4) {
				actions.add(new FuzzAction.StopSidecar(random.nextInt(3)));
			}
			actions.add(new FuzzAction.Advance(random.nextInt(600)));
		}
		return actions;
	}

}
