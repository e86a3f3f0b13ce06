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
		assertThat(this.pauses.earliest(5)).isEqualTo(5);
		this.pauses.alive(10);
		this.pauses.alive(160);
		assertThat(this.pauses.earliest(200)).isEqualTo(200);
	}

	@Test
	void eventsDuringOrRightAfterAPauseMayBeAsOldAsItsStart() {
		this.pauses.alive(1_000);
		assertThat(this.pauses.earliest(3_000)).isEqualTo(1_000);
		this.pauses.alive(3_000);
		assertThat(this.pauses.earliest(3_001)).isEqualTo(1_000);
		assertThat(this.pauses.earliest(4_000)).isEqualTo(1_000);
	}

	@Test
	void pauseHasNoEffectAfterTheRecoveryTime() {
		this.pauses.alive(1_000);
		this.pauses.alive(3_000);
		this.pauses.alive(3_400);
		this.pauses.alive(3_800);
		this.pauses.alive(4_200);
		assertThat(this.pauses.earliest(4_201)).isEqualTo(4_201);
	}

	@Test
	void shortGapIsNoPause() {
		this.pauses.alive(1_000);
		this.pauses.alive(1_499);
		assertThat(this.pauses.earliest(1_500)).isEqualTo(1_500);
	}

}
