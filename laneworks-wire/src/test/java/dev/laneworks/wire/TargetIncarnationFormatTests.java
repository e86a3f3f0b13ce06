package dev.laneworks.wire;

import dev.laneworks.core.directory.TargetIncarnation;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link TargetIncarnationFormat}.
 */
class TargetIncarnationFormatTests {

	@Test
	void parsesFormattedIncarnation() {
		for (String id : new String[] { "i-7f3a91c2", "a@b", "a@5", "@", "" }) {
			assertRoundTrip(TargetIncarnation.of(id));
			assertRoundTrip(TargetIncarnation.of(id, 1_700_000_000_000L));
			assertRoundTrip(TargetIncarnation.of(id, -5));
		}
	}

	@Test
	void parsesIdWithoutSeparatorAsUnknownStartTime() {
		assertThat(TargetIncarnationFormat.parse("i-1")).isEqualTo(TargetIncarnation.of("i-1"));
	}

	@Test
	void treatsInvalidStartTimeAsPartOfId() {
		assertThat(TargetIncarnationFormat.parse("a@b")).isEqualTo(TargetIncarnation.of("a@b"));
		assertThat(TargetIncarnationFormat.parse("a@99999999999999999999"))
			.isEqualTo(TargetIncarnation.of("a@99999999999999999999"));
	}

	private static void assertRoundTrip(TargetIncarnation incarnation) {
		assertThat(TargetIncarnationFormat.parse(TargetIncarnationFormat.format(incarnation))).isEqualTo(incarnation);
	}

}
