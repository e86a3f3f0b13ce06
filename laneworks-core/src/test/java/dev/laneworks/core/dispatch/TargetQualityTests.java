package dev.laneworks.core.dispatch;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link TargetQuality}.
 */
class TargetQualityTests {

	@Test
	void targetThatFailsSomeRequestsIsEjected() {
		TargetQuality quality = new TargetQuality();
		boolean ejected = false;
		for (int i = 0; i < 10; i++) {
			quality.recordSuccess(50, i * 100);
			ejected |= quality.recordFailure(0.05, i * 100 + 50);
		}
		assertThat(ejected).isTrue();
		assertThat(quality.isUsable(1_000)).isFalse();
	}

	@Test
	void targetNoWorseThanItsPeersIsNotEjected() {
		TargetQuality quality = new TargetQuality();
		for (int i = 0; i < 20; i++) {
			quality.recordSuccess(50, i * 100);
			assertThat(quality.recordFailure(0.4, i * 100 + 50)).isFalse();
		}
	}

	@Test
	void singleProbeDecidesOnReturn() {
		TargetQuality quality = new TargetQuality();
		quality.recordFailure(0, 0);
		quality.recordFailure(0, 0);
		assertThat(quality.isUsable(1_400)).isFalse();
		assertThat(quality.isUsable(1_500)).isTrue();
		quality.recordSent(1_500);
		assertThat(quality.isUsable(1_510)).isFalse();
		assertThat(quality.recordFailure(0, 1_600)).isTrue();
		assertThat(quality.isUsable(4_500)).isFalse();
		quality.recordSent(4_700);
		quality.recordSuccess(40, 4_750);
		assertThat(quality.isUsable(4_760)).isTrue();
	}

	@Test
	void failuresDecay() {
		TargetQuality quality = new TargetQuality();
		quality.recordFailure(0, 0);
		assertThat(quality.recordFailure(0, 60_000)).isFalse();
	}

}
