package dev.laneworks.core.dispatch;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

import dev.laneworks.core.directory.DirectoryListener;
import dev.laneworks.core.directory.LeavingCause;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.time.Timers;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link TargetChooser}.
 */
class TargetChooserTests {

	private static final EngineSpec ENGINE = new EngineSpec(64, 30_000, 18_432, 2_700, 4, true, true, 2_000);

	private static final EngineWork WORK = new EngineWork("m", 3_000, 1_000, OptionalLong.empty(), List.of());

	private final TargetDirectory directory = new TargetDirectory(new Nobody(), new Timers());

	private Map<String, WorkAtTarget> work = Map.of();

	private final TargetBeliefs beliefs = new TargetBeliefs((id) -> Optional.ofNullable(this.work.get(id)),
			new SplittableRandom(2));

	private final TargetChooser chooser = new TargetChooser(this.directory, this.beliefs, "here",
			new SplittableRandom(1), Mechanisms.all());

	@Test
	void takesAnEmptyEngineElsewhereWhereTheOwnDataCentreHasFew() {
		join("near", "here");
		join("far", "there");
		hold("near", 9_000);
		assertThat(choose()).isEqualTo("far");
	}

	@Test
	void staysInTheOwnDataCentreWhereItHasEnough() {
		for (String id : List.of("near", "n2", "n3", "n4")) {
			join(id, "here");
		}
		join("far", "there");
		this.work = Map.of("near", held("near", 9_000), "n2", held("n2", 10_000), "n3", held("n3", 12_000), "n4",
				held("n4", 12_000));
		assertThat(choose()).isEqualTo("near");
	}

	@Test
	void leavesTheOwnDataCentreWhereItsEnginesAreFull() {
		join("near", "here");
		join("n2", "here");
		join("n3", "here");
		join("n4", "here");
		join("far", "there");
		this.work = Map.of("near", held("near", 20_000), "n2", held("n2", 21_000), "n3", held("n3", 22_000), "n4",
				held("n4", 22_000));
		assertThat(choose()).isEqualTo("far");
	}

	/**
	 * All of 24 engines that left together chose the one empty engine of 28 before; 4 of
	 * them at the most meet at one since the copies are spread.
	 */
	@Test
	void copiesOfEnginesThatLeaveTogetherAreSpread() {
		Map<String, WorkAtTarget> held = new HashMap<>();
		for (int i = 0; i < 27; i++) {
			join("i" + i, "here");
			held.put("i" + i, held("i" + i, 17_000));
		}
		join("empty", "here");
		this.work = held;
		Map<String, Integer> chosen = new HashMap<>();
		for (int i = 0; i < 24; i++) {
			ListedTarget source = new ListedTarget("leaving" + i, "llm", "10.0.1." + i, 80, "here", 64, true);
			chosen.merge(destination(source), 1, Integer::sum);
		}
		assertThat(Collections.max(chosen.values())).isAtMost(4);
	}

	@Test
	void aCopyGoesWhereItHasRoom() {
		join("full", "here");
		join("empty", "here");
		this.work = Map.of("full", held("full", 32_000));
		for (int i = 0; i < 20; i++) {
			ListedTarget source = new ListedTarget("leaving" + i, "llm", "10.0.1." + i, 80, "here", 64, true);
			assertThat(destination(source)).isEqualTo("empty");
		}
	}

	private String destination(ListedTarget source) {
		return this.chooser.chooseDestination(source, ENGINE, 3_000, Set.of(), 0).map(ListedTarget::id).orElse("none");
	}

	private String choose() {
		return this.chooser.chooseEngine("llm", ENGINE, WORK, Set.of(), 0).map(ListedTarget::id).orElse("none");
	}

	private void join(String id, String dataCentre) {
		this.directory
			.put(new ListedTarget(id, "llm", "10.0.0." + (this.directory.size() + 1), 80, dataCentre, 64, false));
	}

	private void hold(String id, long tokens) {
		this.work = Map.of(id, held(id, tokens));
	}

	private static WorkAtTarget held(String id, long tokens) {
		return new WorkAtTarget(id, 1, tokens, 0, 0, false, 0, false);
	}

	private static final class Nobody implements DirectoryListener {

		@Override
		public void joined(ListedTarget target) {
			// Not looked at.
		}

		@Override
		public void leaving(ListedTarget target, LeavingCause cause) {
			// Not looked at.
		}

		@Override
		public void gone(ListedTarget target) {
			// Not looked at.
		}

	}

}
