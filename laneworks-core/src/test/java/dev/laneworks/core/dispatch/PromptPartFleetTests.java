package dev.laneworks.core.dispatch;

import java.util.List;

import dev.laneworks.core.poison.PartSettings;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that the quarantine of prompt parts keeps harmful requests from engines and
 * refuses no harmless ones, on four entries and 18 engines in virtual time.
 */
class PromptPartFleetTests {

	private static final int SEEDS = 2;

	/** The most requests with a harmful part that the users allow after the reaction. */
	private static final int ALLOWED_LATE = 3;

	/** The share of harmless requests that may be refused. */
	private static final double ALLOWED_REFUSED = 0.005;

	@Test
	void harmfulPartsAreKeptFromEnginesAndHarmlessRequestsAreSent() {
		for (String scenario : List.of("in the middle", "in the middle, once in 2 s", "first",
				"always with the same parts", "beside a part of all requests, two parts", "of five accounts",
				"two parts", "a harmless part turns harmful", "in the middle, a crash every 2.5 s",
				"in the middle, plain closes", "in the middle, news 0.5 s late, a third lost",
				"in the middle, an entry starts 4 s later")) {
			for (int seed = 1; seed <= SEEDS; seed++) {
				PoisonedFleet fleet = play(scenario, seed);
				assertWithMessage("%s, seed %s", scenario, seed).that(fleet.partSentLate()).isAtMost(ALLOWED_LATE);
				assertFewRefused(scenario, seed, fleet);
			}
		}
	}

	@Test
	void unrelatedCrashesRefuseNoHarmlessRequests() {
		for (String scenario : List.of("none harmful, a crash every 2.5 s", "none harmful, a third crashes at once")) {
			for (int seed = 1; seed <= SEEDS; seed++) {
				assertFewRefused(scenario, seed, play(scenario, seed));
			}
		}
	}

	private static void assertFewRefused(String scenario, int seed, PoisonedFleet fleet) {
		assertWithMessage("%s, seed %s", scenario, seed).that(fleet.harmlessRefused / (double) fleet.harmlessRequests())
			.isAtMost(ALLOWED_REFUSED);
	}

	private static PoisonedFleet play(String scenario, int seed) {
		return PoisonedFleet.playParts(4, 18, PartSettings.defaults(), seed, PromptPartFleetReport.MILLIS,
				PromptPartFleetReport.scenarios().get(scenario));
	}

}
