package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.dispatch.CopyResult.Outcome;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of a {@link Dispatcher} with targets that restart under the same id.
 */
class RestartedTargetTests {

	private static final long TOKENS_TOO_LARGE_FOR_COPY = 22_000;

	private static final long AFTER_SMALL_COPIES_MILLIS = 90;

	private final DispatchHarness harness = DispatchHarness.create();

	@Test
	void newIncarnationHasNoRecordedState() {
		ListedTarget former = this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1);
		this.harness.sendLast();
		this.harness.estimates.recordRefusedConnection(former);
		this.harness.estimates.recordAnnouncedDraining(former);
		this.harness.workOfOthers.put("a", new WorkAtTarget(TargetIncarnation.of("a"), 3, 9_000, 0, 0, true, 4, true));
		ListedTarget started = this.harness.restart(former);
		TargetEstimate estimate = this.harness.estimates.of(started);
		assertThat(estimate.inFlight()).isEqualTo(0);
		assertThat(estimate.reservedTokens()).isEqualTo(0);
		assertThat(estimate.pendingPromptTokens()).isEqualTo(0);
		assertThat(estimate.refused()).isEqualTo(0);
		assertThat(estimate.hasAnnouncedDraining()).isFalse();
		assertThat(this.harness.estimates.reservedTokens(started, 0, this.harness.now)).isEqualTo(0);
		assertThat(this.harness.estimates.isCopying(started)).isFalse();
		assertThat(this.harness.estimates.isUnreachable(started, this.harness.now)).isFalse();
		assertThat(this.harness.estimates.localWork()).isEmpty();
	}

	@Test
	void newIncarnationIsNotColdBecauseTheFormerOneWas() {
		this.harness.coldPerSecond = 1;
		ListedTarget former = this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.cold.recordCold(former, 60_000, this.harness.now);
		this.harness.rank = 5;
		ListedTarget started = this.harness.restart(former);
		assertThat(this.harness.cold.accepts(started, this.harness.now)).isTrue();
	}

	@Test
	void unsafeRequestAtFormerIncarnationIsNotRetriedAtTheNewOne() {
		ListedTarget former = this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 3);
		Sent sent = this.harness.sendLast();
		this.harness.restart(former);
		assertThat(this.harness.sent).hasSize(1);
		assertThat(this.harness.refusals.get(1L).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.harness.refusals.get(1L).reason().status()).isEqualTo(502);
		assertThat(this.harness.abandoned).containsExactly("1/" + sent.attempt());
	}

	@Test
	void safeRequestAtFormerIncarnationIsRetriedAtAnotherTarget() {
		ListedTarget former = this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.SAFE, 3);
		this.harness.sendLast();
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.restart(former);
		assertThat(this.harness.sendLast().target().id()).isEqualTo("b");
		assertThat(this.harness.answers(1)).isEmpty();
	}

	@Test
	void unsentRequestIsNotSentToTheNewIncarnationOfItsTarget() {
		ListedTarget former = this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 3);
		Sent first = this.harness.sent.get(0);
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.restart(former);
		assertThat(this.harness.assertReady(first)).isFalse();
		assertThat(this.harness.sendLast().target().id()).isEqualTo("b");
	}

	@Test
	void streamOfFormerIncarnationResumesAtLiveCopy() {
		Sent first = streamWithLiveCopy();
		this.harness.restart(first.target());
		Sent second = this.harness.sendLast();
		assertThat(second.target().address()).isEqualTo(first.order().liveCopy().get());
		assertThat(second.order().resume().isPresent()).isTrue();
		assertThat(this.harness.copies).isEmpty();
		assertThat(this.harness.event(second, 1)).isTrue();
		assertThat(this.harness.answers(1)).containsExactly("started");
	}

	@Test
	void streamOfDrainingFormerIncarnationResumesAtPartialCopy() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.now += 300;
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.restart(first.target());
		Sent second = this.harness.sendLast();
		assertThat(second.target().id()).isNotEqualTo(first.target().id());
		assertThat(second.order().resume().map(ResumePoint::handle)).isEqualTo(Optional.of("h1"));
	}

	@Test
	void streamWithoutCopyIsCutWhenItsTargetRestarts() {
		ListedTarget former = this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1);
		Sent first = this.harness.sendLast();
		this.harness.event(first, 0);
		this.harness.restart(former);
		assertThat(this.harness.sent).hasSize(1);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void liveCopyIsLostWhenItsTargetRestarts() {
		Sent first = streamWithLiveCopy();
		ListedTarget holder = other(first);
		ListedTarget started = this.harness.restart(holder);
		assertThat(this.harness.estimates.of(started).reservedTokens()).isEqualTo(0);
		assertThat(this.harness.event(first, 1)).isTrue();
		this.harness.breakConnection(first);
		assertThat(this.harness.sent).hasSize(1);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void streamStaysAtSourceWhenTheTargetOfItsCopyRestarts() {
		Sent first = streamWithLiveCopy();
		this.harness.drain(first.target());
		Sent second = this.harness.sendLast();
		this.harness.restart(second.target());
		assertThat(this.harness.abandoned).containsExactly("1/" + second.attempt());
		assertThat(this.harness.event(first, 1)).isTrue();
	}

	@Test
	void moveChoosesAnotherDestinationWhenItsDestinationRestarts() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		CopyOrder order = this.harness.copies.get(0);
		this.harness.join(DispatchHarness.ENGINES, "z");
		this.harness.restart(order.destination());
		this.harness.copied(Outcome.COPIED, "h1");
		CopyOrder next = this.harness.copies.get(this.harness.copies.size() - 1);
		assertThat(next.destination().isSameIncarnation(order.destination())).isFalse();
		assertThat(next.stopFirst()).isFalse();
	}

	@Test
	void stoppedStreamDoesNotReturnToNewIncarnationOfItsSource() {
		Sent second = stoppedAndResumed();
		this.harness.restart(this.harness.sent.get(0).target());
		this.harness.answer(second, 503, true);
		assertThat(this.harness.sent).hasSize(2);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void stoppedStreamDoesNotResumeAtRestartedSource() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.copied(Outcome.COPIED, "h1");
		assertThat(this.harness.copies.get(1).stopFirst()).isTrue();
		this.harness.restart(first.target());
		this.harness.copied(Outcome.NO_SUCH_RUN, "");
		Sent second = this.harness.sendLast();
		assertThat(second.target().id()).isNotEqualTo(first.target().id());
	}

	@Test
	void stoppedStreamReturnsToSourceWhenItsDestinationRestarts() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.restart(this.harness.copies.get(1).destination());
		this.harness.breakConnection(first);
		this.harness.copied(Outcome.COPIED, "h1");
		assertThat(this.harness.sendLast().target().isSameIncarnation(first.target())).isTrue();
	}

	@Test
	void stoppedStreamIsCutWhenBothEnginesRestart() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.restart(this.harness.copies.get(1).destination());
		this.harness.restart(first.target());
		this.harness.copied(Outcome.COPIED, "h1");
		assertThat(this.harness.sent).hasSize(1);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	private Sent stoppedAndResumed() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.breakConnection(first);
		this.harness.copied(Outcome.COPIED, "h1");
		return this.harness.sendLast();
	}

	private Sent streamWithLiveCopy() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.openStream(1);
		Sent first = this.harness.sendLast();
		assertThat(first.order().liveCopy().isPresent()).isTrue();
		this.harness.event(first, 0);
		return first;
	}

	private Sent streamWithoutLiveCopy() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1, TOKENS_TOO_LARGE_FOR_COPY);
		this.harness.join(DispatchHarness.ENGINES, "b");
		Sent first = this.harness.sendLast();
		assertThat(first.order().liveCopy().isPresent()).isFalse();
		this.harness.event(first, 0);
		return first;
	}

	private ListedTarget other(Sent first) {
		return this.harness.directory.all()
			.stream()
			.filter((t) -> !t.id().equals(first.target().id()))
			.findFirst()
			.map((t) -> t.withStartMillis(OptionalLong.empty()))
			.orElseThrow();
	}

}
