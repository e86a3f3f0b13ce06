package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.List;

import dev.laneworks.core.directory.ListedTarget;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EngineWatch}.
 */
class EngineWatchTests {

	private final DispatchHarness world = DispatchHarness.create();

	private final ListedTarget engine = this.world.join(DispatchHarness.ENGINES, "a");

	private final List<String> asked = new ArrayList<>();

	private final EngineWatch watch = new EngineWatch(this.world.directory, () -> List.of(this.engine),
			(e) -> this.asked.add(e.id()), this.world.timers);

	@Test
	void asksEnginesOnlyWhileTheListIsLost() {
		this.world.passTime(1_000);
		assertThat(this.asked).isEmpty();
		this.watch.listLost(this.world.now);
		this.watch.listLost(this.world.now);
		this.world.passTime(1_000);
		assertThat(this.asked).hasSize(3);
		this.watch.listRegained();
		this.world.passTime(5_000);
		assertThat(this.asked).hasSize(3);
	}

	@Test
	void anEngineThatSaysItLeavesGetsNoNewWorkAndIsAskedNoMore() {
		this.watch.listLost(this.world.now);
		this.watch.told(this.engine, false);
		assertThat(this.world.directory.takesWork("a")).isTrue();
		this.watch.told(this.engine, true);
		assertThat(this.world.directory.takesWork("a")).isFalse();
		this.world.passTime(5_000);
		assertThat(this.asked).hasSize(1);
	}

}
