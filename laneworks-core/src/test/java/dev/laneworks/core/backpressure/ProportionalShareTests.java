package dev.laneworks.core.backpressure;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ProportionalShare}.
 */
class ProportionalShareTests {

	@Test
	void shareIsEqualWhileRequestsOfOthersAreUnknown() {
		assertThat(share(1, 40, OptionalLong.empty())).isEqualTo(1);
		assertThat(share(4, 40, OptionalLong.empty())).isEqualTo(0.25);
		assertThat(share(0, 40, OptionalLong.empty())).isEqualTo(1);
	}

	@Test
	void sharesAreProportionalToRequestsAndAddUpToOne() {
		double largeShare = share(3, 90, OptionalLong.of(10));
		assertThat(largeShare).isWithin(0.02).of(0.9);
		assertThat(largeShare + share(3, 10, OptionalLong.of(90)) + share(3, 0, OptionalLong.of(100))).isWithin(1e-9)
			.of(1);
	}

	@Test
	void entriesWithoutRequestsHaveEqualShares() {
		assertThat(share(300, 0, OptionalLong.of(0))).isWithin(1e-9).of(1.0 / 300);
	}

	private static double share(int entries, long own, OptionalLong others) {
		return new ProportionalShare(() -> entries, (s, t) -> OptionalLong.of(own), (s, t) -> others).of("s", 0);
	}

}
