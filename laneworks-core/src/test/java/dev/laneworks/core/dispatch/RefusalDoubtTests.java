package dev.laneworks.core.dispatch;

import java.util.Optional;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.serving.RequestKind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RefusalDoubt}, alone and as targets are chosen by it.
 */
class RefusalDoubtTests {

	private final RefusalDoubt doubt = new RefusalDoubt();

	private final DispatchHarness world = DispatchHarness.create();

	@Test
	void theSecondRefusalBeginsADoubtThatEndsByTime() {
		assertThat(this.doubt.observe(1, 1, 0)).isFalse();
		assertThat(this.doubt.isDoubted(0)).isFalse();
		assertThat(this.doubt.observe(2, 1, 100)).isTrue();
		assertThat(this.doubt.isDoubted(3_099)).isTrue();
		assertThat(this.doubt.isDoubted(3_100)).isFalse();
	}

	@Test
	void aRefusedTrialDoublesTheDoubtAndAConnectionEndsIt() {
		this.doubt.observe(2, 1, 0);
		assertThat(this.doubt.observe(3, 1, 3_000)).isTrue();
		assertThat(this.doubt.isDoubted(8_999)).isTrue();
		assertThat(this.doubt.isDoubted(9_000)).isFalse();
		this.doubt.end(3);
		assertThat(this.doubt.observe(4, 1, 9_100)).isFalse();
	}

	@Test
	void refusalsOfThoseWhoHadNotHeardOfTheDoubtDoNotLengthenIt() {
		this.doubt.observe(2, 1, 0);
		assertThat(this.doubt.observe(7, 1, 500)).isFalse();
		assertThat(this.doubt.observe(7, 1, 3_001)).isFalse();
		assertThat(this.doubt.isDoubted(3_001)).isFalse();
	}

	@Test
	void aLoneRefusalCountsNoMoreAfterAWhile() {
		this.doubt.observe(1, 1, 0);
		this.doubt.observe(1, 1, 10_001);
		assertThat(this.doubt.observe(2, 1, 10_002)).isFalse();
	}

	@Test
	void anEntryThatIsGoneTakesItsCountAlong() {
		this.doubt.observe(1, 1, 0);
		this.doubt.observe(0, 1, 10);
		assertThat(this.doubt.observe(1, 1, 20)).isFalse();
	}

	@Test
	void aTargetThatRefusedAnotherEntryAndThenThisOneTakesNoWork() {
		ListedTarget dead = this.world.join(DispatchHarness.PLAIN, "a");
		this.world.others.put("a", new WorkAtTarget(TargetRun.of("a"), 0, 0, 0, 0, false, 1, false));
		this.world.open(1, RequestKind.UNSAFE, 1);
		Sent sent = this.world.sent.get(0);
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.dispatcher.connectFailed(1, sent.attempt(), ConnectFault.REFUSED, "refused", this.world.now);
		this.world.passTime(2_000);
		for (int call = 2; call < 10; call++) {
			this.world.open(call, RequestKind.UNSAFE, 1);
			assertThat(this.world.sent.get(this.world.sent.size() - 1).target().id()).isEqualTo("b");
		}
		assertThat(this.world.beliefs.isDoubted(dead, this.world.now)).isTrue();
	}

	@Test
	void anEngineThatIsDoubtedGetsNoCopyAndItsCopiesAreNotUsed() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.join(DispatchHarness.ENGINES, "b");
		this.world.openStream(1);
		Sent run = this.world.arrive();
		this.world.event(run, 0);
		String backup = run.target().id().equals("a") ? "b" : "a";
		assertThat(run.order().backup()).isNotEqualTo(Optional.empty());
		this.world.others.put(backup, new WorkAtTarget(TargetRun.of(backup), 0, 0, 0, 0, false, 2, false));
		this.world.breakOff(run);
		assertThat(this.world.sent).hasSize(1);
		assertThat(this.world.answers(1)).contains("cut");
	}

	@Test
	void whereEveryTargetIsDoubtedAnyIsTried() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.others.put("a", new WorkAtTarget(TargetRun.of("a"), 0, 0, 0, 0, false, 2, false));
		this.world.open(1, RequestKind.UNSAFE, 1);
		assertThat(this.world.sent).hasSize(1);
	}

}
