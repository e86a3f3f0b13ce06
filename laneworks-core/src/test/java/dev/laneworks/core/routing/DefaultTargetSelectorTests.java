package dev.laneworks.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import dev.laneworks.core.configuration.ConfigurationParser;
import dev.laneworks.core.configuration.Intent;
import dev.laneworks.core.configuration.SpillRule;
import dev.laneworks.core.message.LoadReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link DefaultTargetSelector}.
 */
class DefaultTargetSelectorTests {

	private static final LoadReport IDLE = new LoadReport(0, 0, 0, 1000, false);

	private static final LoadReport FULL = new LoadReport(9, 9, 1000, 1000, false);

	private final TargetStates states = new TargetStates();

	private final DefaultTargetSelector selector = new DefaultTargetSelector(this.states,
			new TargetSubset("entry", "d1", 6, 2), "d1", new SplittableRandom(1));

	@BeforeEach
	void useTwoDataCentres() {
		StringBuilder targets = new StringBuilder();
		for (String name : List.of("d1-a", "d1-b", "d2-a", "d3-a")) {
			String region = name.startsWith("d3") ? "far" : "near";
			targets.append("{\"name\": \"%s\", \"region\": \"%s\", \"dataCentre\": \"%s\", ".formatted(name, region,
					name.substring(0, 2)));
			targets.append("\"address\": \"10.0.0.1:1\", \"serves\": [\"m\"]},");
			this.states.state(name).recordReport(IDLE, 0);
			this.states.state(name).recordLinkUp(true);
		}
		this.selector.use(ConfigurationParser.parse("test", "{\"version\": 1, \"targets\": [" + targets + "]}").get());
	}

	@Test
	void staysInTheDataCentreOfTheIntentBelowCapacity() {
		for (int i = 0; i < 50; i++) {
			assertThat(select(intent(SpillRule.ANY), Set.of()).orElseThrow()).startsWith("d1");
		}
	}

	@Test
	void spillsWithinTheRegionWhenFull() {
		fill("d1-a", "d1-b");
		assertThat(select(intent(SpillRule.REGION), Set.of()).orElseThrow()).isEqualTo("d2-a");
	}

	@Test
	void doesNotSpillWhenTheRuleForbidsIt() {
		fill("d1-a", "d1-b");
		assertThat(select(intent(SpillRule.NONE), Set.of()).orElseThrow()).startsWith("d1");
	}

	// Guards against a restriction that is lifted because no data centre is left in it.
	@Test
	void listWithoutDataCentresAllowsNone() {
		for (SpillRule spill : List.of(SpillRule.NONE, SpillRule.REGION)) {
			assertThat(select(intent(spill, Optional.of(List.of())), Set.of())).isEqualTo(Optional.empty());
			assertThat(select(intent(spill, Optional.empty()), Set.of()).isPresent()).isTrue();
		}
		assertThat(select(intent(SpillRule.ANY, Optional.of(List.of())), Set.of()).isPresent()).isTrue();
	}

	@Test
	void excludesDrainingAndRejectingTargets() {
		this.states.state("d1-a").recordDraining();
		assertThat(select(intent(SpillRule.NONE), Set.of()).orElseThrow()).isEqualTo("d1-b");
		assertThat(select(intent(SpillRule.NONE), Set.of("d1-b")).isEmpty()).isTrue();
	}

	@Test
	void excludesTargetsWithoutLinkWhileOthersAreLinked() {
		this.states.state("d1-a").recordLinkDown();
		for (int i = 0; i < 20; i++) {
			assertThat(select(intent(SpillRule.NONE), Set.of()).orElseThrow()).isEqualTo("d1-b");
		}
	}

	@Test
	void countsRequestsSentSinceTheLatestReport() {
		for (int i = 0; i < 10; i++) {
			this.states.state("d1-a").recordSent();
		}
		int selectedB = 0;
		for (int i = 0; i < 100; i++) {
			selectedB += select(intent(SpillRule.NONE), Set.of()).orElseThrow().equals("d1-b") ? 1 : 0;
		}
		// The other target is selected only if it is drawn twice.
		assertThat(selectedB).isAtLeast(60);
	}

	private void fill(String... targets) {
		for (String target : targets) {
			this.states.state(target).recordReport(FULL, 0);
		}
	}

	private static Intent intent(SpillRule spill) {
		return intent(spill, Optional.of(List.of("d1")));
	}

	private static Intent intent(SpillRule spill, Optional<List<String>> dataCentres) {
		return new Intent("*", "m", "", "1", 1, dataCentres, spill, true);
	}

	private Optional<String> select(Intent intent, Set<String> excluded) {
		return this.selector.select(new RouteRequest("m", intent, 0, excluded), 1).map((r) -> r.target().name());
	}

}
