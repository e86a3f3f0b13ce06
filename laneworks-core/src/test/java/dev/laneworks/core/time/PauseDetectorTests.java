package dev.laneworks.core.time;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link PauseDetector}.
 */
class PauseDetectorTests {

	private final PauseDetector pauses = new PauseDetector();

	@Test
	void eventsAreCurrentWithoutAPause() {
		assertThat(this.pauses.earliestEventTime(5)).isEqualTo(5);
		this.pauses.recordHeartbeat(10);
		this.pauses.recordHeartbeat(160);
		assertThat(this.pauses.earliestEventTime(200)).isEqualTo(200);
	}

	@Test
	void eventsDuringOrRightAfterAPauseMayBeAsOldAsItsStart() {
		this.pauses.recordHeartbeat(1_000);
		assertThat(this.pauses.earliestEventTime(3_000)).isEqualTo(1_000);
		this.pauses.recordHeartbeat(3_000);
		assertThat(this.pauses.earliestEventTime(3_001)).isEqualTo(1_000);
		assertThat(this.pauses.earliestEventTime(4_000)).isEqualTo(1_000);
	}

	@Test
	void pauseHasNoEffectAfterTheRecoveryTime() {
		this.pauses.recordHeartbeat(1_000);
		this.pauses.recordHeartbeat(3_000);
		this.pauses.recordHeartbeat(3_400);
		this.pauses.recordHeartbeat(3_800);
		this.pauses.recordHeartbeat(4_200);
		assertThat(this.pauses.earliestEventTime(4_201)).isEqualTo(4_201);
	}

	@Test
	void shortGapIsNoPause() {
		this.pauses.recordHeartbeat(1_000);
		this.pauses.recordHeartbeat(1_499);
		assertThat(this.pauses.earliestEventTime(1_500)).isEqualTo(1_500);
	}

}
