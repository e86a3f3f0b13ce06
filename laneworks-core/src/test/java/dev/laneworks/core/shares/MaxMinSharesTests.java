package dev.laneworks.core.shares;

import java.util.List;

import dev.laneworks.core.shares.MaxMinShares.Demand;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link MaxMinShares}. They guard against a share that leaves memory unused or
 * that takes it from an account that asks for little.
 */
class MaxMinSharesTests {

	@Test
	void leavesUnusedSharesToTheOthers() {
		List<Demand> demands = List.of(new Demand(1_000, 1), new Demand(10, 1), new Demand(500, 1));
		assertThat(MaxMinShares.level(demands, 610)).isEqualTo(300.0);
		assertThat(MaxMinShares.level(demands, 1_100)).isEqualTo(590.0);
	}

	@Test
	void dividesByWeight() {
		List<Demand> demands = List.of(new Demand(1_000, 3), new Demand(1_000, 1));
		assertThat(MaxMinShares.level(demands, 400)).isEqualTo(100.0);
		assertThat(MaxMinShares.level(demands, 1_600)).isEqualTo(600.0);
	}

	@Test
	void hasNoLimitWhileAllDemandsAreCovered() {
		assertThat(MaxMinShares.level(List.of(new Demand(5, 1), new Demand(7, 1)), 12)).isPositiveInfinity();
		assertThat(MaxMinShares.level(List.of(), 0)).isPositiveInfinity();
	}

}
