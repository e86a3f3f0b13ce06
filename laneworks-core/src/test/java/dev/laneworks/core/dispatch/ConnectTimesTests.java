package dev.laneworks.core.dispatch;

import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.serving.RequestKind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ConnectTimes} and for what a dispatcher makes of them.
 */
class ConnectTimesTests {

	private static final long LEAST = 250;

	private final ConnectTimes times = new ConnectTimes(LEAST);

	@Test
	void allowsASecondUntilOneIsKnown() {
		assertThat(this.times.limitMillis()).isEqualTo(1_000);
	}

	@Test
	void allowsTheLeastWhereConnectionsAreQuick() {
		this.times.cameUp(3);
		assertThat(this.times.limitMillis()).isEqualTo(LEAST);
	}

	@Test
	void allowsMoreWhereThisProcessIsSlowAndLessAgainSoonAfter() {
		this.times.cameUp(300);
		assertThat(this.times.limitMillis()).isEqualTo(900);
		this.times.cameUp(700);
		assertThat(this.times.limitMillis()).isEqualTo(1_000);
		for (int i = 0; i < 20; i++) {
			this.times.cameUp(3);
		}
		assertThat(this.times.limitMillis()).isEqualTo(LEAST);
	}

	@Test
	void aProcessThatHasJustStartedDoesNotGiveTargetsUpForItsOwnDelay() {
		DispatchHarness world = DispatchHarness.create();
		world.join(DispatchHarness.PLAIN, "a");
		world.join(DispatchHarness.PLAIN, "b");
		world.open(1, RequestKind.UNSAFE, 1);
		world.passTime(700);
		assertThat(world.sent).hasSize(1);
		world.arrive();
		Sent first = world.sent.get(0);
		world.answer(first, 200, false);
		assertThat(world.answers(1)).containsExactly("delivered 1");
	}

}
