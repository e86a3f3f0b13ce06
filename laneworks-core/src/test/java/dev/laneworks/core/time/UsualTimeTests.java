package dev.laneworks.core.time;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link UsualTime}.
 */
class UsualTimeTests {

	private static final long LEAST = 250;

	private static final long MOST = 1_000;

	private final UsualTime time = new UsualTime(LEAST, MOST);

	@Test
	void allowsTheMostUntilOneIsKnown() {
		assertThat(this.time.limitMillis()).isEqualTo(MOST);
	}

	@Test
	void allowsTheLeastWhereItIsQuick() {
		this.time.took(3);
		assertThat(this.time.limitMillis()).isEqualTo(LEAST);
	}

	@Test
	void allowsMoreWhereItWasSlowAndLessAgainSoonAfter() {
		this.time.took(300);
		assertThat(this.time.limitMillis()).isEqualTo(900);
		this.time.took(700);
		assertThat(this.time.limitMillis()).isEqualTo(MOST);
		for (int i = 0; i < 20; i++) {
			this.time.took(3);
		}
		assertThat(this.time.limitMillis()).isEqualTo(LEAST);
	}

	@Test
	void oneVeryLongTimeIsForgottenSoon() {
		this.time.took(100);
		this.time.took(60_000);
		for (int i = 0; i < 25; i++) {
			this.time.took(100);
		}
		assertThat(this.time.limitMillis()).isEqualTo(LEAST);
	}

}
