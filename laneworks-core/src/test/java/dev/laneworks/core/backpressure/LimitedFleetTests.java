package dev.laneworks.core.backpressure;

import dev.laneworks.core.backpressure.LimitedFleet.Way;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests what all entries together send to a target that names a limit, in virtual time.
 */
class LimitedFleetTests {

	private static final long MILLIS = 64_000;

	private static final int SEEDS = 3;

	private static final int[] FLEETS = { 4, 33 };

	private static final double[] LIMITS = { 0.2, 3, 30 };

	// A limit that each entry kept to for itself was exceeded by as many times as there
	// are entries.
	@Test
	void entriesThatEachSendTheWholeExceedIt() {
		LimitedFleet fleet = new LimitedFleet(Way.WHOLE, 4, 3, 0, 1);
		fleet.demand(20, true);
		assertThat(fleet.run(MILLIS).mostOfAllowed()).isGreaterThan(2);
	}

	@Test
	void noFourSecondsBringMoreThanIsAllowedThoughNewsAreLostAndEntriesComeAndGo() {
		for (int entries : FLEETS) {
			for (double limit : LIMITS) {
				for (int seed = 1; seed <= SEEDS; seed++) {
					LimitedFleet fleet = new LimitedFleet(Way.REQUESTS, entries, limit, 0.3, seed);
					fleet.demand(Math.max(20, 4 * limit), true);
					fleet.endHalf(20_000, 40_000);
					fleet.crowd(50_000, 10);
					assertThat(fleet.run(MILLIS).mostOfAllowed()).isAtMost(1);
				}
			}
		}
	}

	@Test
	void aFewEntriesUseNineTenthsOfTheLimitWhoeverHasTheRequests() {
		for (boolean isEven : new boolean[] { true, false }) {
			for (double limit : new double[] { 3, 30 }) {
				LimitedFleet fleet = new LimitedFleet(Way.REQUESTS, 4, limit, 0.03, 1);
				fleet.demand(Math.max(20, 4 * limit), isEven);
				assertThat(fleet.run(MILLIS).used()).isAtLeast(0.9);
			}
		}
	}

}
