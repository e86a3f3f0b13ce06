package dev.laneworks.core.dispatch;

import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.serving.RequestKind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for what a {@link Dispatcher} does without one of its mechanisms.
 */
class MechanismsTests {

	@Test
	void withoutRunningCopiesAGenerationIsCopiedAtTheNotice() {
		DispatchHarness world = DispatchHarness.without(Mechanism.RUNNING_COPIES);
		Sent sent = stream(world);
		assertThat(sent.order().backup().isEmpty()).isTrue();
		world.leave(sent.target());
		world.passTime(90);
		assertThat(world.copies).hasSize(1);
	}

	@Test
	void withoutCopiesAtNoticeNothingIsCopiedThen() {
		DispatchHarness world = DispatchHarness.without(Mechanism.COPIES_AT_NOTICE);
		world.join(DispatchHarness.ENGINES, "a");
		world.openStream(1);
		Sent sent = world.arrive();
		world.event(sent, 0);
		world.join(DispatchHarness.ENGINES, "b");
		world.leave(sent.target());
		world.passTime(300);
		assertThat(world.copies).isEmpty();
	}

	@Test
	void withoutStandbyCopiesARunIsNotCopied() {
		DispatchHarness world = DispatchHarness.without(Mechanism.STANDBY_COPIES);
		world.join(DispatchHarness.ENGINES, "a");
		world.openStream(1);
		world.event(world.arrive(), 0);
		world.join(DispatchHarness.ENGINES, "b");
		world.passTime(2_000);
		assertThat(world.copies).isEmpty();
	}

	@Test
	void withoutALearnedLimitAFirstConnectionIsGivenUpSoon() {
		DispatchHarness world = DispatchHarness.without(Mechanism.LEARNED_CONNECT_LIMIT);
		world.join(DispatchHarness.PLAIN, "a");
		world.join(DispatchHarness.PLAIN, "b");
		world.open(1, RequestKind.UNSAFE, 1);
		world.passTime(260);
		assertThat(world.sent).hasSize(2);
	}

	private static Sent stream(DispatchHarness world) {
		world.join(DispatchHarness.ENGINES, "a");
		world.join(DispatchHarness.ENGINES, "b");
		world.openStream(1);
		Sent sent = world.arrive();
		world.event(sent, 0);
		return sent;
	}

}
