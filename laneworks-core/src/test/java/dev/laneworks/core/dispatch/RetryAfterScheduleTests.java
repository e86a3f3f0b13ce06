package dev.laneworks.core.dispatch;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RetryAfterSchedule}.
 */
class RetryAfterScheduleTests {

	private static final long TIME_LEFT = 39_000;

	private final RetryAfterSchedule schedule = new RetryAfterSchedule();

	@Test
	void firstCallerReceivesItsWait() {
		assertThat(this.schedule.nextRetryAfterMillis("s", 0, 2_000, 500, TIME_LEFT, 1_000)).isEqualTo(2_000);
	}

	@Test
	void nextCallerIsScheduledAfterEarlierOnes() {
		this.schedule.nextRetryAfterMillis("s", 0, 2_000, 500, TIME_LEFT, 1_000);
		assertThat(this.schedule.nextRetryAfterMillis("s", 0, 2_000, 250, TIME_LEFT, 1_000)).isEqualTo(4_000);
		assertThat(this.schedule.nextRetryAfterMillis("s", 0, 2_000, 250, TIME_LEFT, 1_500)).isEqualTo(4_500);
	}

	@Test
	void neverReturnsLessThanTheWait() {
		this.schedule.nextRetryAfterMillis("s", 0, 2_000, 500, TIME_LEFT, 1_000);
		assertThat(this.schedule.nextRetryAfterMillis("s", 0, 7_000, 500, TIME_LEFT, 1_000)).isEqualTo(7_000);
	}

	@Test
	void pastTimesAreNotReturned() {
		this.schedule.nextRetryAfterMillis("s", 0, 2_000, 500, TIME_LEFT, 1_000);
		assertThat(this.schedule.nextRetryAfterMillis("s", 0, 1_900, 500, TIME_LEFT, 60_000)).isEqualTo(1_900);
	}

	@Test
	void higherPriorityDoesNotWaitForLower() {
		this.schedule.nextRetryAfterMillis("s", 1, 2_000, 1_000, TIME_LEFT, 1_000);
		assertThat(this.schedule.nextRetryAfterMillis("s", 0, 2_000, 500, TIME_LEFT, 1_000)).isEqualTo(2_000);
		assertThat(this.schedule.nextRetryAfterMillis("s", 1, 2_000, 500, TIME_LEFT, 1_000)).isEqualTo(6_000);
	}

	@Test
	void servicesHaveSeparateQueues() {
		this.schedule.nextRetryAfterMillis("s", 0, 2_000, 500, TIME_LEFT, 1_000);
		assertThat(this.schedule.nextRetryAfterMillis("other", 0, 2_000, 500, TIME_LEFT, 1_000)).isEqualTo(2_000);
	}

	@Test
	void callerWithTooLittleTimeDoesNotAdvanceTheQueue() {
		this.schedule.nextRetryAfterMillis("s", 1, 1_000, 250, 6_000, 0);
		assertThat(this.schedule.nextRetryAfterMillis("s", 1, 1_000, 500, 6_000, 0)).isEqualTo(2_000);
		assertThat(this.schedule.nextRetryAfterMillis("s", 1, 1_000, 500, 6_000, 0)).isEqualTo(2_000);
		assertThat(this.schedule.nextRetryAfterMillis("s", 1, 1_000, 500, 60_000, 0)).isEqualTo(4_000);
	}

	@Test
	void waitBeyondHonouredTimeIsReturnedUnchanged() {
		assertThat(this.schedule.nextRetryAfterMillis("s", 1, 5_000, 500, 6_000, 0)).isEqualTo(5_000);
	}

}
