package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.stream.LongStream;

import dev.laneworks.core.dispatch.OverloadedFleet.Kind;
import dev.laneworks.core.dispatch.OverloadedFleet.Outcome;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the refusals and response times that callers observe while entries receive 1.6
 * times the load that their engines support.
 */
class OverloadedFleetTests {

	private static final List<Kind> KINDS = List.of(Kind.LONG, Kind.SHORT);

	private static final long NORMAL_UNTIL_MILLIS = 10_000;

	private static final long OVERLOADED_UNTIL_MILLIS = 25_000;

	private static final long NORMAL_AGAIN_UNTIL_MILLIS = 39_000;

	private static final long END_MILLIS = 85_000;

	private static List<OverloadedFleet> fleets;

	@BeforeAll
	static void simulateAll() {
		fleets = LongStream.rangeClosed(1, 3).mapToObj(OverloadedFleetTests::simulate).toList();
	}

	private static OverloadedFleet simulate(long seed) {
		OverloadedFleet fleet = new OverloadedFleet(12, 10, seed);
		for (Kind kind : KINDS) {
			double supportedPerSecond = (kind == Kind.LONG) ? 11 : 21;
			fleet.scheduleArrivals(kind, 0.8 * supportedPerSecond, 0, NORMAL_UNTIL_MILLIS);
			fleet.scheduleArrivals(kind, 1.6 * supportedPerSecond, NORMAL_UNTIL_MILLIS, OVERLOADED_UNTIL_MILLIS);
			fleet.scheduleArrivals(kind, 0.7 * supportedPerSecond, OVERLOADED_UNTIL_MILLIS, NORMAL_AGAIN_UNTIL_MILLIS);
		}
		fleet.run(END_MILLIS);
		return fleet;
	}

	private static double share(Kind kind, Outcome outcome) {
		return (double) count(kind, outcome) / count(kind, Outcome.ALL);
	}

	private static long count(Kind kind, Outcome outcome) {
		return fleets.stream().mapToLong((f) -> f.count(kind, outcome)).sum();
	}

	@Test
	void refusesFewLongGenerationsTwice() {
		assertThat(share(Kind.LONG, Outcome.REFUSED_AGAIN)).isLessThan(0.03);
		assertThat(count(Kind.LONG, Outcome.REFUSED_AGAIN)).isLessThan(count(Kind.LONG, Outcome.REFUSED) / 4);
	}

	@Test
	void refusesLessThanHalfOfShortGenerationsTwice() {
		assertThat(share(Kind.SHORT, Outcome.REFUSED_AGAIN)).isLessThan(0.45);
	}

	@Test
	void servesMostLongGenerationsInTime() {
		assertThat(share(Kind.LONG, Outcome.IN_TIME)).isGreaterThan(0.7);
	}

	@Test
	void higherRankIsServedNoWorseThanLowerRank() {
		assertThat(share(Kind.LONG, Outcome.IN_TIME)).isAtLeast(share(Kind.SHORT, Outcome.IN_TIME));
		assertThat(share(Kind.LONG, Outcome.REFUSED_AGAIN)).isAtMost(share(Kind.SHORT, Outcome.REFUSED_AGAIN));
	}

	@Test
	void nearlyAllCallersAreServedOrRefusedTwice() {
		for (Kind kind : KINDS) {
			double answered = share(kind, Outcome.IN_TIME) + share(kind, Outcome.LATE)
					+ share(kind, Outcome.REFUSED_AGAIN);
			assertThat(answered).isGreaterThan(0.999);
		}
	}

}
