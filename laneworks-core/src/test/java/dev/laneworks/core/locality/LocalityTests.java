package dev.laneworks.core.locality;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Locality}.
 */
class LocalityTests {

	private static final long GOAL = 1_800;

	private static final int REQUESTS = 3_000;

	private final Map<String, Long> silence = new HashMap<>();

	private final Locality locality = new Locality("a", (d, t) -> this.silence.getOrDefault(d, 0L),
			new SplittableRandom(1));

	private long now;

	@Test
	void staysLocalWhileGoalIsMet() {
		assertThat(chosen(wait("a", 590, 0.1), wait("b", 0, 1))).containsExactly("a", REQUESTS);
		assertThat(this.locality.changes()).isEqualTo(0);
	}

	@Test
	void spreadsInProportionToFreeCapacity() {
		Map<String, Integer> chosen = chosen(wait("a", 1_200, 0), wait("b", 0, 0.3), wait("b", 0, 0.3),
				wait("c", 0, 0.2));
		assertThat(chosen).doesNotContainKey("a");
		assertThat(chosen.get("b") / (double) REQUESTS).isWithin(0.05).of(0.75);
	}

	@Test
	void staysLocalWhereOthersAreNoBetter() {
		assertThat(chosen(wait("a", 1_000, 0), wait("b", 600, 1))).containsExactly("a", REQUESTS);
	}

	/** Guards against flapping at the threshold. */
	@Test
	void returnsAtHalfOfTheThreshold() {
		chosen(wait("a", 700, 0.1), wait("b", 0, 1));
		assertThat(chosen(wait("a", 320, 0.1), wait("b", 0, 1))).containsKey("b");
		assertThat(this.locality.changes()).isEqualTo(1);
		assertThat(chosen(wait("a", 290, 0.1), wait("b", 0, 1))).containsExactly("a", REQUESTS);
		assertThat(chosen(wait("a", 590, 0.1), wait("b", 0, 1))).containsExactly("a", REQUESTS);
		assertThat(this.locality.changes()).isEqualTo(2);
	}

	/** Guards against requests that are sent to a data centre that is cut off. */
	@Test
	void avoidsDataCentreThatIsCutOff() {
		this.silence.put("b", 7_001L);
		assertThat(chosen(wait("a", 1_700, 0), wait("b", 0, 1))).containsExactly("a", REQUESTS);
		assertThat(chosen(wait("a", 1_700, 0), wait("b", 0, 1), wait("c", 0, 0.1))).containsExactly("c", REQUESTS);
		assertThat(chosen(wait("b", 0, 1), wait("c", 0, 0.1))).containsExactly("c", REQUESTS);
		assertThat(chosen(wait("b", 0, 0))).containsExactly("b", REQUESTS);
		this.silence.put("b", 100L);
		assertThat(chosen(wait("a", 1_700, 0), wait("b", 0, 1))).containsExactly("b", REQUESTS);
	}

	// Passes enough time for the moving average to follow.
	private Map<String, Integer> chosen(TargetWait... waits) {
		this.now += 10_000;
		Map<String, Integer> chosen = new HashMap<>();
		for (int i = 0; i < REQUESTS; i++) {
			chosen.merge(this.locality.choose("s", GOAL, List.of(waits), this.now).dataCentre(), 1, Integer::sum);
		}
		return chosen;
	}

	private static TargetWait wait(String dataCentre, double millis, double free) {
		return new TargetWait(dataCentre, millis, free);
	}

}
