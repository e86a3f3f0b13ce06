package dev.laneworks.wire;

import dev.laneworks.core.directory.TargetRun;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link TargetRunForm}.
 */
class TargetRunFormTests {

	@Test
	void aRunIsReadAsItWasWritten() {
		for (String id : new String[] { "i-7f3a91c2", "a@b", "a@5", "@", "" }) {
			assertRead(TargetRun.of(id));
			assertRead(TargetRun.of(id, 1_700_000_000_000L));
			assertRead(TargetRun.of(id, -5));
		}
	}

	@Test
	void anIdAloneIsARunOfWhichNoStartIsKnown() {
		assertThat(TargetRunForm.read("i-1")).isEqualTo(TargetRun.of("i-1"));
	}

	@Test
	void whatIsNoStartTimeBelongsToTheId() {
		assertThat(TargetRunForm.read("a@b")).isEqualTo(TargetRun.of("a@b"));
		assertThat(TargetRunForm.read("a@99999999999999999999")).isEqualTo(TargetRun.of("a@99999999999999999999"));
	}

	private static void assertRead(TargetRun run) {
		assertThat(TargetRunForm.read(TargetRunForm.write(run))).isEqualTo(run);
	}

}
