package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.stream.LongStream;

import dev.laneworks.core.dispatch.CrowdedFleet.Kind;
import dev.laneworks.core.dispatch.CrowdedFleet.Outcome;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of what callers get from entries whose engines are asked for 1.6 times what they
 * bear for 15 s: 1,377 long generations and 2,683 short ones over 12 entries and 10
 * engines.
 */
class CrowdedFleetTests {

	private static final long CALM_MILLIS = 10_000;

	private static final long CROWDED_UNTIL_MILLIS = 25_000;

	private static final long CALM_AGAIN_UNTIL_MILLIS = 39_000;

	private static final long END_MILLIS = 85_000;

	private static List<CrowdedFleet> fleets;

	@BeforeAll
	static void play() {
		fleets = LongStream.rangeClosed(1, 3).mapToObj(CrowdedFleetTests::played).toList();
	}

	private static CrowdedFleet played(long seed) {
		CrowdedFleet fleet = new CrowdedFleet(12, 10, seed);
		for (Kind kind : Kind.values()) {
			double borne = (kind == Kind.LONG) ? 11 : 21;
			fleet.come(kind, 0.8 * borne, 0, CALM_MILLIS);
			fleet.come(kind, 1.6 * borne, CALM_MILLIS, CROWDED_UNTIL_MILLIS);
			fleet.come(kind, 0.7 * borne, CROWDED_UNTIL_MILLIS, CALM_AGAIN_UNTIL_MILLIS);
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

	/** Refused twice: 121 of 280 that were refused, 37 of 220 since. */
	@Test
	void fewLongGenerationsAreRefusedTwice() {
		assertThat(share(Kind.LONG, Outcome.REFUSED_AGAIN)).isLessThan(0.03);
		assertThat(count(Kind.LONG, Outcome.REFUSED_AGAIN)).isLessThan(count(Kind.LONG, Outcome.REFUSED) / 4);
	}

	/** Refused twice: 1,215 before, 1,185 since. */
	@Test
	void noMoreShortGenerationsAreRefusedTwiceForIt() {
		assertThat(share(Kind.SHORT, Outcome.REFUSED_AGAIN)).isLessThan(0.45);
	}

	/** In time: 944 long generations before, 974 since. */
	@Test
	void moreLongGenerationsAreServedInTime() {
		assertThat(share(Kind.LONG, Outcome.IN_TIME)).isGreaterThan(0.7);
	}

	@Test
	void theHighestRankFaresNoWorseThanTheLowerOne() {
		assertThat(share(Kind.LONG, Outcome.IN_TIME)).isAtLeast(share(Kind.SHORT, Outcome.IN_TIME));
		assertThat(share(Kind.LONG, Outcome.REFUSED_AGAIN)).isAtMost(share(Kind.SHORT, Outcome.REFUSED_AGAIN));
	}

	@Test
	void nearlyAllAreServedOrRefusedTwice() {
		for (Kind kind : Kind.values()) {
			double answered = share(kind, Outcome.IN_TIME) + share(kind, Outcome.LATE)
					+ share(kind, Outcome.REFUSED_AGAIN);
			assertThat(answered).isGreaterThan(0.999);
		}
	}

}
