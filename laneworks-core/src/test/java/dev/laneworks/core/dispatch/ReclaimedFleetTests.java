package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Optional;

import dev.laneworks.core.dispatch.OverloadedFleet.Kind;
import dev.laneworks.core.dispatch.OverloadedFleet.Outcome;
import dev.laneworks.core.waiting.WaitingOrder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of what callers get from entries with a queue, while engines are reclaimed and
 * long generations come in a burst.
 */
class ReclaimedFleetTests {

	private static final int SEEDS = 2;

	// Guards against a queue that refuses the most urgent kind first, as admission by
	// utilization does, and against callers whose generation is lost in the queue.
	@ParameterizedTest
	@EnumSource(WaitingOrder.class)
	void servesUrgentCallersFirstAndIsWorthMoreThanNoQueue(WaitingOrder order) {
		List<OverloadedFleet> fleets = ReclaimedFleetReport.simulate(Optional.of(order), SEEDS);
		assertThat(share(fleets, Kind.PAGE_SHORT, Outcome.REFUSED))
			.isAtMost(share(fleets, Kind.PAGE_LONG, Outcome.REFUSED));
		assertThat(share(fleets, Kind.PAGE_SHORT, Outcome.REFUSED_FINALLY)).isLessThan(0.01);
		assertThat(share(fleets, Kind.PAGE_SHORT, Outcome.IN_TIME)).isGreaterThan(0.5);
		assertThat(value(fleets)).isGreaterThan(value(ReclaimedFleetReport.simulate(Optional.empty(), SEEDS)));
		assertThat(fleets.stream().mapToLong(OverloadedFleet::openCalls).sum()).isEqualTo(0);
	}

	// The value of the customer's table: in time and late.
	private static double value(List<OverloadedFleet> fleets) {
		return 150 * ReclaimedFleetReport.count(fleets, Kind.PAGE_LONG, Outcome.COMPLETE_IN_TIME)
				+ 33 * ReclaimedFleetReport.count(fleets, Kind.PAGE_LONG, Outcome.COMPLETE_LATE)
				+ 75 * ReclaimedFleetReport.count(fleets, Kind.PAGE_SHORT, Outcome.COMPLETE_IN_TIME)
				+ 4.4 * ReclaimedFleetReport.count(fleets, Kind.PAGE_SHORT, Outcome.COMPLETE_LATE);
	}

	private static double share(List<OverloadedFleet> fleets, Kind kind, Outcome outcome) {
		return ReclaimedFleetReport.share(fleets, kind, outcome);
	}

}
