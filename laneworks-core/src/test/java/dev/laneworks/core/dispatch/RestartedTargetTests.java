package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.dispatch.CopyResult.Outcome;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link Dispatcher} with targets that start again under their id.
 */
class RestartedTargetTests {

	private static final long TOO_LARGE_FOR_A_COPY = 22_000;

	private static final long AFTER_NOTICE = 90;

	private final DispatchHarness world = DispatchHarness.create();

	@Test
	void nothingIsBelievedOfANewRun() {
		ListedTarget former = this.world.join(DispatchHarness.ENGINES, "a");
		this.world.openStream(1);
		this.world.arrive();
		this.world.beliefs.refused(former);
		this.world.beliefs.saidLeaving(former);
		this.world.others.put("a", new WorkAtTarget(TargetRun.of("a"), 3, 9_000, 0, 0, true, 4, true));
		ListedTarget started = this.world.startAgain(former);
		TargetBelief belief = this.world.beliefs.of(started);
		assertThat(belief.inFlight()).isEqualTo(0);
		assertThat(belief.ownTokens()).isEqualTo(0);
		assertThat(belief.ownUnread()).isEqualTo(0);
		assertThat(belief.refused()).isEqualTo(0);
		assertThat(belief.hasSaidLeaving()).isFalse();
		assertThat(this.world.beliefs.heldTokens(started, 0, this.world.now)).isEqualTo(0);
		assertThat(this.world.beliefs.isCopying(started)).isFalse();
		assertThat(this.world.beliefs.isDoubted(started, this.world.now)).isFalse();
		assertThat(this.world.beliefs.ownWork()).isEmpty();
	}

	@Test
	void aRunIsNotColdBecauseTheFormerOneWas() {
		this.world.coldPerSecond = 1;
		ListedTarget former = this.world.join(DispatchHarness.PLAIN, "a");
		this.world.cold.told(former, 60_000, this.world.now);
		this.world.before = 5;
		ListedTarget started = this.world.startAgain(former);
		assertThat(this.world.cold.takes(started, this.world.now)).isTrue();
	}

	@Test
	void anUnsafeRequestThatTheFormerRunMayHaveBegunIsNotSentToTheNewOne() {
		ListedTarget former = this.world.join(DispatchHarness.PLAIN, "a");
		this.world.open(1, RequestKind.UNSAFE, 3);
		Sent sent = this.world.arrive();
		this.world.startAgain(former);
		assertThat(this.world.sent).hasSize(1);
		assertThat(this.world.refusals.get(1L).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.world.refusals.get(1L).reason().status()).isEqualTo(502);
		assertThat(this.world.abandoned).containsExactly("1/" + sent.attempt());
	}

	@Test
	void aSafeRequestAtTheFormerRunIsSentToAnotherTarget() {
		ListedTarget former = this.world.join(DispatchHarness.PLAIN, "a");
		this.world.open(1, RequestKind.SAFE, 3);
		this.world.arrive();
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.startAgain(former);
		assertThat(this.world.arrive().target().id()).isEqualTo("b");
		assertThat(this.world.answers(1)).isEmpty();
	}

	@Test
	void aRequestThatIsNotSentYetGoesToNoNewRunAsIfItWereTheOneChosen() {
		ListedTarget former = this.world.join(DispatchHarness.PLAIN, "a");
		this.world.open(1, RequestKind.UNSAFE, 3);
		Sent first = this.world.sent.get(0);
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.startAgain(former);
		assertThat(this.world.assertReady(first)).isFalse();
		assertThat(this.world.arrive().target().id()).isEqualTo("b");
	}

	@Test
	void aStreamOfTheFormerRunGoesOnAtItsRunningCopy() {
		Sent first = streamWithRunningCopy();
		this.world.startAgain(first.target());
		Sent second = this.world.arrive();
		assertThat(second.target().address()).isEqualTo(first.order().backup().get());
		assertThat(second.order().resume().isPresent()).isTrue();
		assertThat(this.world.copies).isEmpty();
		assertThat(this.world.event(second, 1)).isTrue();
		assertThat(this.world.answers(1)).containsExactly("started");
	}

	@Test
	void aStreamOfAFormerRunThatWasLeavingGoesOnAtWhatItsMoveHasCopied() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		this.world.now += 300;
		this.world.copied(Outcome.COPIED, "h1");
		this.world.startAgain(first.target());
		Sent second = this.world.arrive();
		assertThat(second.target().id()).isNotEqualTo(first.target().id());
		assertThat(second.order().resume().map(ResumePoint::handle)).isEqualTo(Optional.of("h1"));
	}

	@Test
	void aStreamWithoutACopyEndsWithTheRunThatItRanOn() {
		ListedTarget former = this.world.join(DispatchHarness.ENGINES, "a");
		this.world.openStream(1);
		Sent first = this.world.arrive();
		this.world.event(first, 0);
		this.world.startAgain(former);
		assertThat(this.world.sent).hasSize(1);
		assertThat(this.world.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void aRunningCopyEndsWithTheRunThatHeldIt() {
		Sent first = streamWithRunningCopy();
		ListedTarget holder = other(first);
		ListedTarget started = this.world.startAgain(holder);
		assertThat(this.world.beliefs.of(started).ownTokens()).isEqualTo(0);
		assertThat(this.world.event(first, 1)).isTrue();
		this.world.breakOff(first);
		assertThat(this.world.sent).hasSize(1);
		assertThat(this.world.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void aStreamThatGoesOnAtACopyWhoseRunIsOverStaysWhereItRuns() {
		Sent first = streamWithRunningCopy();
		this.world.leave(first.target());
		Sent second = this.world.arrive();
		this.world.startAgain(second.target());
		assertThat(this.world.abandoned).containsExactly("1/" + second.attempt());
		assertThat(this.world.event(first, 1)).isTrue();
	}

	@Test
	void aMoveGoesElsewhereWhenTheRunThatItCopiesToIsOver() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		CopyOrder order = this.world.copies.get(0);
		this.world.join(DispatchHarness.ENGINES, "z");
		this.world.startAgain(order.destination());
		this.world.copied(Outcome.COPIED, "h1");
		CopyOrder next = this.world.copies.get(this.world.copies.size() - 1);
		assertThat(next.destination().isSameRun(order.destination())).isFalse();
		assertThat(next.stop()).isFalse();
	}

	@Test
	void aStoppedStreamDoesNotGoBackToANewRunOfTheEngineThatStoppedIt() {
		Sent second = stoppedAndGoingOn();
		this.world.startAgain(this.world.sent.get(0).target());
		this.world.answer(second, 503, true);
		assertThat(this.world.sent).hasSize(2);
		assertThat(this.world.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void aStoppedStreamDoesNotGoOnAtASourceWhoseRunIsOver() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		this.world.copied(Outcome.COPIED, "h1");
		assertThat(this.world.copies.get(1).stop()).isTrue();
		this.world.startAgain(first.target());
		this.world.copied(Outcome.NO_SUCH_RUN, "");
		Sent second = this.world.arrive();
		assertThat(second.target().id()).isNotEqualTo(first.target().id());
	}

	@Test
	void aStoppedStreamGoesBackWhereTheRunThatHoldsItsCopyIsOver() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		this.world.copied(Outcome.COPIED, "h1");
		this.world.startAgain(this.world.copies.get(1).destination());
		this.world.breakOff(first);
		this.world.copied(Outcome.COPIED, "h1");
		assertThat(this.world.arrive().target().isSameRun(first.target())).isTrue();
	}

	@Test
	void aStoppedStreamOfWhichNothingIsLeftAtEitherEngineIsCut() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		this.world.copied(Outcome.COPIED, "h1");
		this.world.startAgain(this.world.copies.get(1).destination());
		this.world.startAgain(first.target());
		this.world.copied(Outcome.COPIED, "h1");
		assertThat(this.world.sent).hasSize(1);
		assertThat(this.world.answers(1)).containsExactly("started", "cut").inOrder();
	}

	private Sent stoppedAndGoingOn() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		this.world.copied(Outcome.COPIED, "h1");
		this.world.breakOff(first);
		this.world.copied(Outcome.COPIED, "h1");
		return this.world.arrive();
	}

	private Sent streamWithRunningCopy() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.join(DispatchHarness.ENGINES, "b");
		this.world.openStream(1);
		Sent first = this.world.arrive();
		assertThat(first.order().backup().isPresent()).isTrue();
		this.world.event(first, 0);
		return first;
	}

	private Sent streamWithoutRunningCopy() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.openStream(1, TOO_LARGE_FOR_A_COPY);
		this.world.join(DispatchHarness.ENGINES, "b");
		Sent first = this.world.arrive();
		assertThat(first.order().backup().isPresent()).isFalse();
		this.world.event(first, 0);
		return first;
	}

	private ListedTarget other(Sent first) {
		return this.world.directory.all()
			.stream()
			.filter((t) -> !t.id().equals(first.target().id()))
			.findFirst()
			.map((t) -> t.startedAt(OptionalLong.empty()))
			.orElseThrow();
	}

}
