package dev.laneworks.core.dispatch;

import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.serving.RequestKind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Dispatcher} with one mechanism disabled.
 */
class MechanismsTests {

	@Test
	void withoutLiveCopiesCopiesAtReclaimNotice() {
		DispatchHarness harness = DispatchHarness.without(Mechanism.RUNNING_COPIES);
		Sent sent = stream(harness);
		assertThat(sent.order().liveCopy().isEmpty()).isTrue();
		harness.drain(sent.target());
		harness.passTime(90);
		assertThat(harness.copies).hasSize(1);
	}

	@Test
	void withoutCopiesAtNoticeCopiesNothingAtReclaimNotice() {
		DispatchHarness harness = DispatchHarness.without(Mechanism.COPIES_AT_NOTICE);
		harness.join(DispatchHarness.ENGINES, "a");
		harness.openStream(1);
		Sent sent = harness.sendLast();
		harness.event(sent, 0);
		harness.join(DispatchHarness.ENGINES, "b");
		harness.drain(sent.target());
		harness.passTime(300);
		assertThat(harness.copies).isEmpty();
	}

	@Test
	void withoutStandbyCopiesCopiesNothing() {
		DispatchHarness harness = DispatchHarness.without(Mechanism.STANDBY_COPIES);
		harness.join(DispatchHarness.ENGINES, "a");
		harness.openStream(1);
		harness.event(harness.sendLast(), 0);
		harness.join(DispatchHarness.ENGINES, "b");
		harness.passTime(2_000);
		assertThat(harness.copies).isEmpty();
	}

	@Test
	void withoutLearnedConnectLimitAbandonsFirstConnectionEarly() {
		DispatchHarness harness = DispatchHarness.without(Mechanism.LEARNED_CONNECT_LIMIT);
		harness.join(DispatchHarness.PLAIN, "a");
		harness.join(DispatchHarness.PLAIN, "b");
		harness.open(1, RequestKind.UNSAFE, 1);
		harness.passTime(260);
		assertThat(harness.sent).hasSize(2);
	}

	private static Sent stream(DispatchHarness harness) {
		harness.join(DispatchHarness.ENGINES, "a");
		harness.join(DispatchHarness.ENGINES, "b");
		harness.openStream(1);
		Sent sent = harness.sendLast();
		harness.event(sent, 0);
		return sent;
	}

}
