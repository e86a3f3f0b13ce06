package dev.laneworks.core.dispatch;

import java.util.Optional;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.serving.RequestKind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link UnreachableDetector}, alone and in the choice of targets.
 */
class UnreachableDetectorTests {

	private final UnreachableDetector detector = new UnreachableDetector();

	private final DispatchHarness harness = DispatchHarness.create();

	@Test
	void secondRefusalStartsBackoffThatExpires() {
		assertThat(this.detector.observe(1, 1, 0)).isFalse();
		assertThat(this.detector.isUnreachable(0)).isFalse();
		assertThat(this.detector.observe(2, 1, 100)).isTrue();
		assertThat(this.detector.isUnreachable(3_099)).isTrue();
		assertThat(this.detector.isUnreachable(3_100)).isFalse();
	}

	@Test
	void refusedProbeDoublesBackoffAndConnectionResetsIt() {
		this.detector.observe(2, 1, 0);
		assertThat(this.detector.observe(3, 1, 3_000)).isTrue();
		assertThat(this.detector.isUnreachable(8_999)).isTrue();
		assertThat(this.detector.isUnreachable(9_000)).isFalse();
		this.detector.reset(3);
		assertThat(this.detector.observe(4, 1, 9_100)).isFalse();
	}

	@Test
	void refusalsDuringBackoffDoNotExtendIt() {
		this.detector.observe(2, 1, 0);
		assertThat(this.detector.observe(7, 1, 500)).isFalse();
		assertThat(this.detector.observe(7, 1, 3_001)).isFalse();
		assertThat(this.detector.isUnreachable(3_001)).isFalse();
	}

	@Test
	void singleRefusalExpires() {
		this.detector.observe(1, 1, 0);
		this.detector.observe(1, 1, 10_001);
		assertThat(this.detector.observe(2, 1, 10_002)).isFalse();
	}

	@Test
	void refusalsOfRemovedEntryAreSubtracted() {
		this.detector.observe(1, 1, 0);
		this.detector.observe(0, 1, 10);
		assertThat(this.detector.observe(1, 1, 20)).isFalse();
	}

	@Test
	void targetThatRefusedTwoEntriesReceivesNoWork() {
		ListedTarget dead = this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.workOfOthers.put("a", new WorkAtTarget(TargetIncarnation.of("a"), 0, 0, 0, 0, false, 1, false));
		this.harness.open(1, RequestKind.UNSAFE, 1);
		Sent sent = this.harness.sent.get(0);
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.dispatcher.connectFailed(1, sent.attempt(), ConnectFault.REFUSED, "refused", this.harness.now);
		this.harness.passTime(2_000);
		for (int call = 2; call < 10; call++) {
			this.harness.open(call, RequestKind.UNSAFE, 1);
			assertThat(this.harness.sent.get(this.harness.sent.size() - 1).target().id()).isEqualTo("b");
		}
		assertThat(this.harness.estimates.isUnreachable(dead, this.harness.now)).isTrue();
	}

	@Test
	void copyAtUnreachableEngineIsNotUsed() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.openStream(1);
		Sent run = this.harness.sendLast();
		this.harness.event(run, 0);
		String backup = run.target().id().equals("a") ? "b" : "a";
		assertThat(run.order().liveCopy()).isNotEqualTo(Optional.empty());
		this.harness.workOfOthers.put(backup,
				new WorkAtTarget(TargetIncarnation.of(backup), 0, 0, 0, 0, false, 2, false));
		this.harness.breakConnection(run);
		assertThat(this.harness.sent).hasSize(1);
		assertThat(this.harness.answers(1)).contains("cut");
	}

	@Test
	void unreachableTargetIsTriedWhenThereIsNoOther() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.workOfOthers.put("a", new WorkAtTarget(TargetIncarnation.of("a"), 0, 0, 0, 0, false, 2, false));
		this.harness.open(1, RequestKind.UNSAFE, 1);
		assertThat(this.harness.sent).hasSize(1);
	}

}
