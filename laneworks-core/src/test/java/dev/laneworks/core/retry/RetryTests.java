package dev.laneworks.core.retry;

import java.time.Duration;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RetryBudget}, {@link Backoff} and {@link TargetHealth}.
 */
class RetryTests {

	@Test
	void budgetLimitsRetriesToAShareOfSuccesses() {
		RetryBudget budget = new RetryBudget(0.1, 0, 5);
		int acquired = 0;
		for (int i = 0; i < 1_000; i++) {
			budget.recordSuccess();
			acquired += budget.tryAcquire(0) ? 1 : 0;
		}
		assertThat(acquired).isAtMost(5 + 100);
		assertThat(acquired).isAtLeast(100);
	}

	@Test
	void budgetIsExhaustedInAnOutage() {
		RetryBudget budget = new RetryBudget(0.1, 1, 5);
		int acquired = 0;
		for (int second = 0; second < 60; second++) {
			for (int i = 0; i < 100; i++) {
				acquired += budget.tryAcquire(second * 1_000L) ? 1 : 0;
			}
		}
		assertThat(acquired).isAtMost(5 + 60);
	}

	@Test
	void backoffDoublesUpToItsMaximumWithJitter() {
		Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), new SplittableRandom(1));
		for (int retry = 1; retry < 40; retry++) {
			long full = Math.min(1_000, 100L << Math.min(20, retry - 1));
			long delay = backoff.delayMillis(retry);
			assertThat(delay).isAtLeast(full / 2);
			assertThat(delay).isAtMost(full);
		}
	}

	@Test
	void targetIsEjectedAfterThreeFailuresAndReturnsAfterATrial() {
		TargetHealth health = new TargetHealth();
		assertThat(health.recordFailure(0)).isFalse();
		assertThat(health.recordFailure(0)).isFalse();
		assertThat(health.recordFailure(0)).isTrue();
		assertThat(health.isUsable(999)).isFalse();
		assertThat(health.isUsable(1_000)).isTrue();
		health.recordSent();
		assertThat(health.isUsable(1_000)).isFalse();
		health.recordFailure(1_000);
		assertThat(health.isUsable(2_500)).isFalse();
		assertThat(health.isUsable(3_000)).isTrue();
		assertThat(health.recordSuccess()).isTrue();
		assertThat(health.isUsable(3_000)).isTrue();
	}

}
