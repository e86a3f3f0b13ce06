package dev.laneworks.core.dispatch;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

import dev.laneworks.core.backpressure.TargetBackpressure;
import dev.laneworks.core.backpressure.TargetRateLimits;
import dev.laneworks.core.directory.DirectoryListener;
import dev.laneworks.core.directory.DrainingCause;
import dev.laneworks.core.directory.EvacuationListener;
import dev.laneworks.core.directory.Evacuations;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.speed.GenerationNeeds;
import dev.laneworks.core.time.Timers;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link TargetChooser}.
 */
class TargetChooserTests {

	private static final EngineSpec ENGINE = new EngineSpec(64, 30_000, 18_432, 2_700, 4, true, true, 2_000);

	private static final GenerationSize WORK = new GenerationSize("m", 3_000, 1_000, OptionalLong.empty(), List.of());

	private static final CandidateFilter SCOPE = new CandidateFilter("llm", AllowedRegions.any(), Set.of());

	private final Evacuations evacuations = new Evacuations(new NoOpEvacuationListener());

	private final TargetDirectory directory = new TargetDirectory(new NoOpDirectoryListener(), this.evacuations,
			new Timers());

	private Map<String, WorkAtTarget> work = Map.of();

	private final TargetEstimates estimates = new TargetEstimates(
			(incarnation) -> Optional.ofNullable(this.work.get(incarnation.id())), new SplittableRandom(2));

	private final TargetChooser chooser = new TargetChooser(new Eligibility(this.directory, this.estimates,
			new ColdTargets(new ColdRateLimit(1, 0), new SingleEntry(), (s) -> 0, (e) -> {
			}), new TargetBackpressure(new TargetRateLimits((s, t) -> 1, (t) -> 0), (t) -> {
			}, (e) -> {
			}), Map.of()), this.estimates, "here", new SplittableRandom(1), Mechanisms.all());

	@Test
	void choosesEmptyRemoteEngineWhenLocalDataCentreHasFew() {
		join("near", "here");
		join("far", "there");
		reserveMemory("near", 9_000);
		assertThat(choose()).isEqualTo("far");
	}

	@Test
	void prefersLocalDataCentreAtSimilarUtilization() {
		for (String id : List.of("near", "n2", "n3", "n4")) {
			join(id, "here");
		}
		join("far", "there");
		this.work = Map.of("near", held("near", 0), "n2", held("n2", 5_000), "n3", held("n3", 5_000), "n4",
				held("n4", 5_000), "far", held("far", 5_000));
		for (int i = 0; i < 50; i++) {
			assertThat(choose()).isNotEqualTo("far");
		}
	}

	@Test
	void choosesRemoteEngineWhenLocalEnginesHaveUnreadPrompts() {
		Map<String, WorkAtTarget> held = new HashMap<>();
		for (String id : List.of("near", "n2", "n3", "n4")) {
			join(id, "here");
			held.put(id, new WorkAtTarget(TargetIncarnation.of(id), 1, 3_000, 3_000, 0, false, 0, false));
		}
		join("far", "there");
		held.put("far", held("far", 9_000));
		this.work = held;
		for (int i = 0; i < 50; i++) {
			assertThat(choose()).isEqualTo("far");
		}
	}

	/**
	 * Guards against concurrent choices that all select the engine with slightly more
	 * free memory.
	 */
	@Test
	void concurrentChoicesAreSpreadOverSimilarEngines() {
		for (int i = 0; i < 8; i++) {
			join("n" + i, "here");
		}
		this.work = Map.of("n1", held("n1", 1_800), "n2", held("n2", 1_800), "n3", held("n3", 1_800), "n4",
				held("n4", 1_800), "n5", held("n5", 1_800), "n6", held("n6", 1_800), "n7", held("n7", 1_800));
		Map<String, Integer> chosen = new HashMap<>();
		for (int i = 0; i < 20; i++) {
			chosen.merge(choose(), 1, Integer::sum);
		}
		assertThat(Collections.max(chosen.values())).isAtMost(12);
	}

	/**
	 * Guards against large generations that starve because smaller ones take all memory
	 * that is released below the limit.
	 */
	@Test
	void largeGenerationNeedsLittleMoreRoomBelowTheLimitThanTheMean() {
		join("near", "here");
		this.work = Map.of("near", held("near", 18_000));
		GenerationSize large = new GenerationSize("m", 6_000, 1_000, OptionalLong.empty(), List.of());
		assertThat(chooseBelow(large, 0.75)).hasValue("near");
		assertThat(chooseBelow(large, 0.70)).isEmpty();
		this.work = Map.of("near", held("near", 24_000));
		assertThat(chooseBelow(large, 0.95)).isEmpty();
	}

	private Optional<String> chooseBelow(GenerationSize size, double maxUtilization) {
		return this.chooser.chooseEngineWithRoom(SCOPE, ENGINE, size, GenerationNeeds.UNKNOWN, maxUtilization, 0)
			.map(ListedTarget::id);
	}

	@Test
	void choosesRemoteEngineWhenLocalEnginesAreFull() {
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
	 * Guards against engines that drain together and all copy to the single empty engine.
	 */
	@Test
	void copiesFromEnginesDrainingTogetherAreSpread() {
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
	void copyDestinationHasEnoughMemory() {
		join("full", "here");
		join("empty", "here");
		this.work = Map.of("full", held("full", 32_000));
		for (int i = 0; i < 20; i++) {
			ListedTarget source = new ListedTarget("leaving" + i, "llm", "10.0.1." + i, 80, "here", 64, true);
			assertThat(destination(source)).isEqualTo("empty");
		}
	}

	private String destination(ListedTarget source) {
		return this.chooser.chooseDestination(source, SCOPE, ENGINE, 3_000, 0).map(ListedTarget::id).orElse("none");
	}

	private String choose() {
		return this.chooser.chooseEngine(SCOPE, ENGINE, WORK, 0).map(ListedTarget::id).orElse("none");
	}

	private void join(String id, String dataCentre) {
		this.directory
			.put(new ListedTarget(id, "llm", "10.0.0." + (this.directory.size() + 1), 80, dataCentre, 64, false));
	}

	private void reserveMemory(String id, long tokens) {
		this.work = Map.of(id, held(id, tokens));
	}

	private static WorkAtTarget held(String id, long tokens) {
		return new WorkAtTarget(TargetIncarnation.of(id), 1, tokens, 0, 0, false, 0, false);
	}

	private static final class SingleEntry implements EntryRanks {

		@Override
		public int entries() {
			return 1;
		}

		@Override
		public int rankFor(String target) {
			return 0;
		}

	}

	private static final class NoOpDirectoryListener implements DirectoryListener {

		@Override
		public void listed(ListedTarget target) {
			// Ignored.
		}

		@Override
		public void joined(ListedTarget target) {
			// Ignored.
		}

		@Override
		public void draining(ListedTarget target, DrainingCause cause) {
			// Ignored.
		}

		@Override
		public void gone(ListedTarget target) {
			// Ignored.
		}

	}

	private static final class NoOpEvacuationListener implements EvacuationListener {

		@Override
		public void evacuated(String dataCentre) {
			// Ignored.
		}

		@Override
		public void evacuationEnded(String dataCentre) {
			// Ignored.
		}

	}

}
