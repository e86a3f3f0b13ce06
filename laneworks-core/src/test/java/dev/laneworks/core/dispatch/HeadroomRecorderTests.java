package dev.laneworks.core.dispatch;

import java.util.List;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.mechanism.Mechanism;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link HeadroomRecorder} within the {@link Dispatcher}.
 */
class HeadroomRecorderTests {

	private static final double MEMORY = 34_000;

	private final DispatchHarness harness = DispatchHarness.without(Mechanism.RUNNING_COPIES);

	/**
	 * Guards against moves that are counted after they have left the reclaimed engines,
	 * and against ignoring the generations of other entries.
	 */
	@Test
	void memoryOfAllEntriesAtReclaimedEnginesIsDisplaced() {
		List<ListedTarget> engines = List.of(join("a"), join("b"), join("c"), join("d"));
		engines.forEach((e) -> reportOthers(e, 3_400));
		this.harness.openStream(1);
		Sent sent = this.harness.sendLast();
		this.harness.event(sent, 0);
		ListedTarget other = engines.stream().filter((e) -> !e.equals(sent.target())).findFirst().orElseThrow();
		this.harness.drain(other);
		this.harness.passTime(200);
		this.harness.drain(sent.target());
		assertThat(displaced()).isWithin(1e-9).of((2 * 3_400 + 3_250) / (2 * MEMORY));
		assertThat(this.harness.dispatcher.headroom().lowestLimit(this.harness.now)).isWithin(1e-9)
			.of(0.97 - (2 * 3_400 + 3_250) / (2 * MEMORY));
		this.harness.passTime(500);
		this.harness.remove(sent.target());
		this.harness.remove(other);
		this.harness.passTime(14_501);
		assertThat(displaced()).isEqualTo(0);
	}

	/**
	 * Guards against a displaced share of zero while gossip is interrupted: the entry
	 * counts its own generations.
	 */
	@Test
	void ownMemoryIsDisplacedWithoutReportsOfOthers() {
		join("a");
		join("b");
		this.harness.openStream(1);
		Sent sent = this.harness.sendLast();
		this.harness.event(sent, 0);
		this.harness.drain(sent.target());
		assertThat(displaced()).isWithin(1e-9).of(3_250 / MEMORY);
	}

	/** Guards against an engine that is removed without notice being ignored. */
	@Test
	void memoryOfVanishedEngineIsDisplaced() {
		join("a");
		ListedTarget vanished = join("b");
		reportOthers(vanished, 3_400);
		this.harness.remove(vanished);
		assertThat(displaced()).isWithin(1e-9).of(0.1);
	}

	/** Guards against plain services being treated as engine memory. */
	@Test
	void plainTargetsDisplaceNothing() {
		this.harness.drain(this.harness.join(DispatchHarness.PLAIN, "p"));
		assertThat(this.harness.dispatcher.headroom().largestDisplacedShare(this.harness.now)).isEqualTo(0);
		assertThat(this.harness.dispatcher.headroom().lowestLimit(this.harness.now)).isEqualTo(1);
	}

	private ListedTarget join(String id) {
		return this.harness.join(DispatchHarness.ENGINES, id);
	}

	private void reportOthers(ListedTarget engine, long tokens) {
		this.harness.workOfOthers.put(engine.id(),
				new WorkAtTarget(engine.incarnation(), 5, tokens, 0, 0, false, 0, false));
	}

	private double displaced() {
		return this.harness.dispatcher.headroom().displacedShare(DispatchHarness.ENGINES, this.harness.now);
	}

}
