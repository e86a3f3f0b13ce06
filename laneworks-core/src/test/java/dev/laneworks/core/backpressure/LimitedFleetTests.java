package dev.laneworks.core.backpressure;

import dev.laneworks.core.backpressure.LimitedFleet.Sharing;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that all entries together respect the rate limit of a target, in virtual time.
 */
class LimitedFleetTests {

	private static final long MILLIS = 64_000;

	private static final int SEEDS = 3;

	private static final int[] FLEETS = { 4, 33 };

	private static final double[] LIMITS = { 0.2, 3, 30 };

	// Shows that the simulation detects an exceeded limit.
	@Test
	void limitIsExceededIfEachEntryUsesAllOfIt() {
		LimitedFleet fleet = new LimitedFleet(Sharing.WHOLE, 4, 3, 0, 1);
		fleet.demand(20, true);
		assertThat(fleet.run(MILLIS).peakRatio()).isGreaterThan(2);
	}

	@Test
	void limitHoldsDespiteLostUpdatesRestartsAndBursts() {
		for (int entries : FLEETS) {
			for (double limit : LIMITS) {
				for (int seed = 1; seed <= SEEDS; seed++) {
					LimitedFleet fleet = new LimitedFleet(Sharing.REQUESTS, entries, limit, 0.3, seed);
					fleet.demand(Math.max(20, 4 * limit), true);
					fleet.restartHalf(20_000, 40_000);
					fleet.burst(50_000, 10);
					assertThat(fleet.run(MILLIS).peakRatio()).isAtMost(1);
				}
			}
		}
	}

	@Test
	void smallFleetUsesMostOfTheLimitForAnyDistributionOfRequests() {
		for (boolean isEven : new boolean[] { true, false }) {
			for (double limit : new double[] { 3, 30 }) {
				LimitedFleet fleet = new LimitedFleet(Sharing.REQUESTS, 4, limit, 0.03, 1);
				fleet.demand(Math.max(20, 4 * limit), isEven);
				assertThat(fleet.run(MILLIS).utilization()).isAtLeast(0.9);
			}
		}
	}

}
