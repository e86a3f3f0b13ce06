package dev.laneworks.core.dispatch;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests for the choice among engines of uneven speed, compared with the choice without
 * reports of their slowness.
 */
class UnevenEnginesTests {

	private static final int SEEDS = 10;

	private static final long MILLIS = 40_000;

	/**
	 * Guards against long streams at slow engines, whose events come later than their
	 * goal.
	 */
	@Test
	void moreLongStreamsAreSteadyWithReports() {
		Result without = new Result();
		Result with = new Result();
		for (int seed = 1; seed <= SEEDS; seed++) {
			without.add(simulate(seed, false));
			with.add(simulate(seed, true));
		}
		String results = "without: " + without + "; with: " + with;
		assertWithMessage(results).that(with.steady).isAtLeast(without.steady + 0.08 * SEEDS);
		assertWithMessage(results).that(with.shortInTime).isAtLeast(without.shortInTime - 0.01 * SEEDS);
	}

	private static OverloadedFleet simulate(int seed, boolean reported) {
		OverloadedFleet fleet = new OverloadedFleet(6, 12, seed);
		fleet.useSpeeds(new UnevenSpeeds(seed), reported);
		fleet.scheduleArrivals(OverloadedFleet.Kind.LONG, 5, 0, MILLIS);
		fleet.scheduleArrivals(OverloadedFleet.Kind.SHORT, 6, 0, MILLIS);
		fleet.run(MILLIS + 10_000);
		return fleet;
	}

	private static double share(OverloadedFleet fleet, OverloadedFleet.Kind kind, OverloadedFleet.Outcome outcome) {
		return (double) fleet.count(kind, outcome) / fleet.count(kind, OverloadedFleet.Outcome.ALL);
	}

	/**
	 * Sums of shares over all seeds.
	 */
	private static final class Result {

		private double steady;

		private double longInTime;

		private double shortInTime;

		private void add(OverloadedFleet fleet) {
			this.steady += share(fleet, OverloadedFleet.Kind.LONG, OverloadedFleet.Outcome.STEADY);
			this.longInTime += share(fleet, OverloadedFleet.Kind.LONG, OverloadedFleet.Outcome.IN_TIME);
			this.shortInTime += share(fleet, OverloadedFleet.Kind.SHORT, OverloadedFleet.Outcome.IN_TIME);
		}

		@Override
		public String toString() {
			return String.format("long in time and steady %.3f, long in time %.3f, short in time %.3f",
					this.steady / SEEDS, this.longInTime / SEEDS, this.shortInTime / SEEDS);
		}

	}

}
