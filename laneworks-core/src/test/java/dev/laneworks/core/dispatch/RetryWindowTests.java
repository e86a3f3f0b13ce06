package dev.laneworks.core.dispatch;

import java.util.Optional;

import dev.laneworks.core.gossip.RetryBudgetUsage;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RetryWindow}.
 */
class RetryWindowTests {

	@Test
	void allowsShareOfRequestsPlusFixedNumberPerWindow() {
		RetryWindow window = withoutOthers(0.2, 3);
		for (int i = 0; i < 10; i++) {
			window.recordRequest("s", i);
		}
		assertThat(taken(window, 20)).isEqualTo(5);
	}

	@Test
	void limitHoldsInEverySlidingWindow() {
		RetryWindow window = withoutOthers(0, 3);
		int taken = 0;
		for (long now = 0; now < 9_900; now += 100) {
			taken += window.tryTake("s", now) ? 1 : 0;
		}
		assertThat(taken).isEqualTo(3);
		assertThat(window.tryTake("s", 10_001)).isTrue();
	}

	@Test
	void servicesHaveSeparateBudgets() {
		RetryWindow window = withoutOthers(0, 1);
		assertThat(window.tryTake("a", 0)).isTrue();
		assertThat(window.tryTake("b", 0)).isTrue();
		assertThat(window.tryTake("a", 1)).isFalse();
	}

	@Test
	void spendsMoreWhileFleetStaysBelowLimit() {
		RetryWindow window = new RetryWindow(10_000, 0, 1, 10,
				(s, w, now) -> Optional.of(new RetryBudgetUsage(s, 0, 4)));
		assertThat(taken(window, 20)).isEqualTo(3);
	}

	private static RetryWindow withoutOthers(double ratio, double fixed) {
		return new RetryWindow(10_000, ratio, fixed, fixed, (s, w, now) -> Optional.empty());
	}

	private static int taken(RetryWindow window, int tries) {
		int taken = 0;
		for (int i = 0; i < tries; i++) {
			taken += window.tryTake("s", 100) ? 1 : 0;
		}
		return taken;
	}

}
