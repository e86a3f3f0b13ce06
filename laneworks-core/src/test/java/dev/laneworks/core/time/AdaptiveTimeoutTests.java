package dev.laneworks.core.time;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link AdaptiveTimeout}.
 */
class AdaptiveTimeoutTests {

	private static final long MIN = 250;

	private static final long MAX = 1_000;

	private final AdaptiveTimeout timeout = new AdaptiveTimeout(MIN, MAX);

	@Test
	void startsWithTheMaximum() {
		assertThat(this.timeout.timeoutMillis()).isEqualTo(MAX);
	}

	@Test
	void usesTheMinimumForShortDurations() {
		this.timeout.recordDuration(3);
		assertThat(this.timeout.timeoutMillis()).isEqualTo(MIN);
	}

	@Test
	void growsWithLongDurationsAndShrinksAgain() {
		this.timeout.recordDuration(300);
		assertThat(this.timeout.timeoutMillis()).isEqualTo(900);
		this.timeout.recordDuration(700);
		assertThat(this.timeout.timeoutMillis()).isEqualTo(MAX);
		for (int i = 0; i < 20; i++) {
			this.timeout.recordDuration(3);
		}
		assertThat(this.timeout.timeoutMillis()).isEqualTo(MIN);
	}

	@Test
	void recoversFromOneVeryLongDuration() {
		this.timeout.recordDuration(100);
		this.timeout.recordDuration(60_000);
		for (int i = 0; i < 25; i++) {
			this.timeout.recordDuration(100);
		}
		assertThat(this.timeout.timeoutMillis()).isEqualTo(MIN);
	}

}
