package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

import dev.laneworks.core.directory.ListedTarget;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ReadingEngines}.
 */
class ReadingEnginesTests {

	private static final int FLEETS = 2_000;

	private final Random random = new Random(1);

	@Test
	void everyProcessNamesTheSameWhateverTheOrderOfItsList() {
		for (int i = 0; i < FLEETS; i++) {
			List<ListedTarget> engines = fleet(this.random.nextInt(60));
			Set<String> named = ReadingEngines.of(engines);
			Collections.shuffle(engines, this.random);
			assertThat(ReadingEngines.of(engines)).isEqualTo(named);
		}
	}

	@Test
	void noDataCentreGivesMoreThanAQuarterAndASmallOneNone() {
		for (int i = 0; i < FLEETS; i++) {
			List<ListedTarget> engines = fleet(this.random.nextInt(60));
			Set<String> named = ReadingEngines.of(engines);
			for (String dataCentre : List.of("a", "b", "c")) {
				List<String> there = engines.stream()
					.filter((e) -> e.dataCentre().equals(dataCentre))
					.map(ListedTarget::id)
					.toList();
				long count = there.stream().filter(named::contains).count();
				assertThat(count).isAtMost(there.size() / 4);
				assertThat(count).isAtLeast((there.size() >= 4) ? 1 : 0);
			}
		}
	}

	@Test
	void anEngineThatComesOrGoesMovesNoOtherThanTheFirstOrTheNext() {
		for (int i = 0; i < FLEETS; i++) {
			List<ListedTarget> engines = fleet(8 + this.random.nextInt(50));
			Set<String> before = ReadingEngines.of(engines);
			engines.remove(this.random.nextInt(engines.size()));
			Set<String> after = ReadingEngines.of(engines);
			assertThat(before.stream().filter((e) -> !after.contains(e)).count()).isAtMost(1);
			assertThat(after.stream().filter((e) -> !before.contains(e)).count()).isAtMost(1);
		}
	}

	private List<ListedTarget> fleet(int size) {
		List<ListedTarget> engines = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			String dataCentre = List.of("a", "b", "c").get(this.random.nextInt(3));
			engines.add(new ListedTarget("i-" + this.random.nextInt(), "s", "10.0.0." + i, 80, dataCentre, 24, false));
		}
		return engines;
	}

}
