package dev.laneworks.entry.direct;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ResumeGate}.
 */
class ResumeGateTests {

	private long storeReadAt;

	private final ResumeGate gate = new ResumeGate((now) -> now - this.storeReadAt);

	@Test
	void isOpenBeforeAnyPause() {
		assertThat(this.gate.isClosed(0)).isFalse();
		assertThat(this.gate.isClosed(1_000_000)).isFalse();
	}

	@Test
	void isClosedAfterALongPauseUntilTheStoreIsRead() {
		assertThat(this.gate.paused(1_000, 5_000)).isTrue();
		assertThat(this.gate.isClosed(5_000)).isTrue();
		assertThat(this.gate.isClosed(5_200)).isTrue();
		this.storeReadAt = 5_201;
		assertThat(this.gate.isClosed(5_201)).isFalse();
	}

	@Test
	void staysClosedForAStoreReadBeforeThePause() {
		this.storeReadAt = 4_999;
		this.gate.paused(3_000, 5_000);
		assertThat(this.gate.isClosed(5_000)).isTrue();
	}

	@Test
	void opensAfterTheMaximumWaitWithoutTheStore() {
		this.gate.paused(30_000, 40_000);
		assertThat(this.gate.isClosed(40_299)).isTrue();
		assertThat(this.gate.isClosed(40_300)).isFalse();
	}

	@Test
	void closesAgainAfterASecondPause() {
		this.gate.paused(2_000, 5_000);
		this.storeReadAt = 5_004;
		assertThat(this.gate.isClosed(5_010)).isFalse();
		this.gate.paused(2_000, 7_100);
		assertThat(this.gate.isClosed(7_100)).isTrue();
	}

	// Guards against decisions on old state by a process that gets little processor time.
	@Test
	void closesOnceWhenShortPausesAddUp() {
		assertThat(this.gate.late(600, 5_000)).isFalse();
		assertThat(this.gate.late(1_100, 5_600)).isTrue();
		assertThat(this.gate.isClosed(5_600)).isTrue();
		assertThat(this.gate.late(1_300, 5_950)).isFalse();
		assertThat(this.gate.isClosed(5_950)).isFalse();
		assertThat(this.gate.late(0, 6_500)).isFalse();
		assertThat(this.gate.late(1_000, 8_000)).isTrue();
	}

	@Test
	void staysOpenAfterAShortPause() {
		assertThat(this.gate.paused(999, 5_000)).isFalse();
		assertThat(this.gate.isClosed(5_000)).isFalse();
	}

}
