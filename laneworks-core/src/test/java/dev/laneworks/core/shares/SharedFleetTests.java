package dev.laneworks.core.shares;

import dev.laneworks.core.shares.SharedFleet.Order;
import dev.laneworks.core.shares.SharedFleet.Victim;
import dev.laneworks.core.shares.SharedFleetReport.Way;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link AccountShares} in a simulated fleet whose capacity is exceeded. They
 * guard against accounts that ask for little and are refused because of others, and
 * against memory that stays unused because of shares.
 */
class SharedFleetTests {

	private static final Way BY_ARRIVAL = new Way(Order.ARRIVAL, Victim.LAST, false);

	private static final Way KEPT = new Way(Order.THRESHOLD, Victim.LARGEST_DEMAND, true);

	@ParameterizedTest
	@CsvSource({ "4, 0", "30, 3" })
	void accountsBelowTheirShareAreServed(int entries, double flood) {
		SharedFleet kept = SharedFleetReport.run(entries, flood, KEPT, 1);
		SharedFleet byArrival = SharedFleetReport.run(entries, flood, BY_ARRIVAL, 1);
		assertThat(byArrival.worstBelowShare(1)).isLessThan(0.9);
		assertThat(kept.worstBelowShare(1)).isAtLeast(0.9);
		assertThat(kept.goodput()).isAtLeast(0.97 * byArrival.goodput());
	}

}
