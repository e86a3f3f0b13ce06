package dev.laneworks.core.dispatch;

import java.util.Set;

import dev.laneworks.core.dispatch.OverloadedFleet.Kind;
import dev.laneworks.core.dispatch.OverloadedFleet.Outcome;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests for the choice of the data centre while the demand of three data centres swings,
 * compared with constant penalties of remote targets.
 */
class SwingingDemandTests {

	private static final int SEEDS = 10;

	private static final long MILLIS = 60_000;

	/**
	 * Guards against requests that leave their data centre although it serves them in
	 * time, and against flapping.
	 */
	@Test
	void sendsFewerRequestsElsewhereAndServesMoreInTime() {
		Result constant = new Result();
		Result byWait = new Result();
		for (int seed = 1; seed <= SEEDS; seed++) {
			constant.add(simulate(seed, new Mechanisms(Set.of(Mechanism.WAIT_BASED_LOCALITY))));
			byWait.add(simulate(seed, Mechanisms.all()));
		}
		String results = "constant penalties: " + constant + "; by wait: " + byWait;
		assertWithMessage(results).that(byWait.elsewhere).isLessThan(constant.elsewhere / 3);
		assertWithMessage(results).that(byWait.changes).isLessThan(constant.changes / 2);
		assertWithMessage(results).that(byWait.inTime).isAtLeast(constant.inTime + 0.01 * SEEDS);
	}

	private static OverloadedFleet simulate(int seed, Mechanisms mechanisms) {
		OverloadedFleet fleet = new OverloadedFleet(9, 12, 3, mechanisms, seed);
		fleet.useSpeeds(new UnevenSpeeds(seed), true);
		fleet.scheduleSwingingArrivals(Kind.LONG, 6, 0.55, 15_000, MILLIS);
		fleet.scheduleSwingingArrivals(Kind.SHORT, 7, 0.55, 15_000, MILLIS);
		fleet.run(MILLIS + 10_000);
		return fleet;
	}

	/**
	 * Sums of shares over all seeds.
	 */
	private static final class Result {

		private double inTime;

		private double steady;

		private double elsewhere;

		private int changes;

		private void add(OverloadedFleet fleet) {
			double all = count(fleet, Outcome.ALL);
			this.inTime += count(fleet, Outcome.IN_TIME) / all;
			this.steady += count(fleet, Outcome.STEADY) / all;
			this.elsewhere += fleet.shareElsewhere();
			this.changes += fleet.changesOfDirection();
		}

		private static double count(OverloadedFleet fleet, Outcome outcome) {
			return fleet.count(Kind.LONG, outcome) + fleet.count(Kind.SHORT, outcome);
		}

		@Override
		public String toString() {
			return String.format("in time %.3f, steady %.3f, elsewhere %.3f, changes %.1f", this.inTime / SEEDS,
					this.steady / SEEDS, this.elsewhere / SEEDS, (double) this.changes / SEEDS);
		}

	}

}
