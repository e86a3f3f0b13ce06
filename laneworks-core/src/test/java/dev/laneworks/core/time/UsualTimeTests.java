package dev.laneworks.core.time;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link UsualTime}.
 */
class UsualTimeTests {

	private static final long MIN = 250;

	private static final long MAX = 1_000;

	private final UsualTime timeout = new UsualTime(MIN, MAX);

	@Test
	void startsWithTheMaximum() {
		assertThat(this.timeout.limitMillis()).isEqualTo(MAX);
	}

	@Test
	void usesTheMinimumForShortDurations() {
		this.timeout.took(3);
		assertThat(this.timeout.limitMillis()).isEqualTo(MIN);
	}

	@Test
	void growsWithLongDurationsAndShrinksAgain() {
		this.timeout.took(300);
		assertThat(this.timeout.limitMillis()).isEqualTo(900);
		this.timeout.took(700);
		assertThat(this.timeout.limitMillis()).isEqualTo(MAX);
		for (int i = 0; i < 20; i++) {
			this.timeout.took(3);
		}
		assertThat(this.timeout.limitMillis()).isEqualTo(MIN);
	}

	@Test
	void recoversFromOneVeryLongDuration() {
		this.timeout.took(100);
		this.timeout.took(60_000);
		for (int i = 0; i < 25; i++) {
			this.timeout.took(100);
		}
		assertThat(this.timeout.limitMillis()).isEqualTo(MIN);
	}

}
