package dev.laneworks.core.dispatch;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ReturnTimes}.
 */
class ReturnTimesTests {

	private static final long PATIENCE = 39_000;

	private final ReturnTimes returns = new ReturnTimes();

	@Test
	void theFirstIsToldTheWaitInItsWay() {
		assertThat(this.returns.book("s", 0, 2_000, 500, PATIENCE, 1_000)).isEqualTo(2_000);
	}

	@Test
	void theNextIsToldTheTimeBehindTheRoomOfThoseBefore() {
		this.returns.book("s", 0, 2_000, 500, PATIENCE, 1_000);
		assertThat(this.returns.book("s", 0, 2_000, 250, PATIENCE, 1_000)).isEqualTo(4_000);
		assertThat(this.returns.book("s", 0, 2_000, 250, PATIENCE, 1_500)).isEqualTo(4_500);
	}

	@Test
	void noneIsToldLessThanItsWait() {
		this.returns.book("s", 0, 2_000, 500, PATIENCE, 1_000);
		assertThat(this.returns.book("s", 0, 7_000, 500, PATIENCE, 1_000)).isEqualTo(7_000);
	}

	@Test
	void timesThatHavePassedAreNotToldAgain() {
		this.returns.book("s", 0, 2_000, 500, PATIENCE, 1_000);
		assertThat(this.returns.book("s", 0, 1_900, 500, PATIENCE, 60_000)).isEqualTo(1_900);
	}

	@Test
	void aHigherRankDoesNotWaitForALowerOne() {
		this.returns.book("s", 1, 2_000, 1_000, PATIENCE, 1_000);
		assertThat(this.returns.book("s", 0, 2_000, 500, PATIENCE, 1_000)).isEqualTo(2_000);
		assertThat(this.returns.book("s", 1, 2_000, 500, PATIENCE, 1_000)).isEqualTo(6_000);
	}

	@Test
	void servicesDoNotWaitForEachOther() {
		this.returns.book("s", 0, 2_000, 500, PATIENCE, 1_000);
		assertThat(this.returns.book("other", 0, 2_000, 500, PATIENCE, 1_000)).isEqualTo(2_000);
	}

	@Test
	void whoWillNotWaitForItsTurnIsToldWhatItWaitsAndBooksNothing() {
		this.returns.book("s", 1, 1_000, 250, 6_000, 0);
		assertThat(this.returns.book("s", 1, 1_000, 500, 6_000, 0)).isEqualTo(2_000);
		assertThat(this.returns.book("s", 1, 1_000, 500, 6_000, 0)).isEqualTo(2_000);
		assertThat(this.returns.book("s", 1, 1_000, 500, 60_000, 0)).isEqualTo(4_000);
	}

	@Test
	void aWaitBeyondWhatIsHeededIsToldAsItIs() {
		assertThat(this.returns.book("s", 1, 5_000, 500, 6_000, 0)).isEqualTo(5_000);
	}

}
