package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Optional;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.dispatch.CopyResult.Outcome;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.gossip.WorkAtTarget;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Dispatcher} and {@link StreamMover}: streams and their moves.
 */
class StreamMovingTests {

	private static final long TOO_LARGE_FOR_A_COPY = 22_000;

	/** Longer than whole copies wait for what is nearly copied. */
	private static final long AFTER_NOTICE = 90;

	private final DispatchHarness world = DispatchHarness.create();

	@Test
	void passesEachEventOnceInOrder() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.openStream(1);
		Sent sent = this.world.arrive();
		assertThat(this.world.event(sent, 0)).isTrue();
		assertThat(this.world.event(sent, 1)).isTrue();
		assertThat(this.world.event(sent, 1)).isFalse();
		this.world.dispatcher.streamEnded(1, sent.attempt(), 50);
		assertThat(this.world.answers(1)).containsExactly("started", "ended").inOrder();
	}

	@Test
	void aMissingEventEndsTheStreamAsNotWhole() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.openStream(1);
		Sent sent = this.world.arrive();
		this.world.event(sent, 0);
		assertThat(this.world.event(sent, 2)).isFalse();
		assertThat(this.world.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void aStreamNeverBeginsAnew() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.openStream(1);
		this.world.join(DispatchHarness.ENGINES, "b");
		Sent sent = this.world.arrive();
		this.world.event(sent, 0);
		this.world.breakOff(sent);
		assertThat(this.world.sent).hasSize(1);
		assertThat(this.world.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void goesOnAtItsRunningCopyWhenTheEngineLeavesAndEndsTheFirstRunAtTheFirstEvent() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.join(DispatchHarness.ENGINES, "b");
		this.world.openStream(1);
		Sent first = this.world.arrive();
		ListedTarget source = first.target();
		assertThat(first.order().backup().isPresent()).isTrue();
		this.world.event(first, 0);
		this.world.event(first, 1);
		this.world.leave(source);
		Sent second = this.world.arrive();
		assertThat(second.target().address()).isEqualTo(first.order().backup().get());
		assertThat(second.order().resume())
			.isEqualTo(Optional.of(new ResumePoint(second.target().address(), DispatchHarness.id(1), "1")));
		assertThat(this.world.abandoned).isEmpty();
		assertThat(this.world.event(first, 2)).isTrue();
		assertThat(this.world.event(second, 2)).isFalse();
		assertThat(this.world.abandoned).containsExactly("1/" + first.attempt());
		assertThat(this.world.event(second, 3)).isTrue();
		assertThat(this.world.event(first, 3)).isFalse();
	}

	@Test
	void aCopyThatSendsNothingIsGivenUpWhileTheFirstRunSendsEvents() {
		Sent first = streamWithCopy();
		this.world.leave(first.target());
		Sent second = this.world.arrive();
		this.world.passTime(250);
		this.world.event(first, 2);
		this.world.passTime(60);
		assertThat(this.world.abandoned).containsExactly("1/" + second.attempt());
		assertThat(this.world.event(first, 3)).isTrue();
		this.world.passTime(100);
		assertThat(this.world.copies).hasSize(1);
	}

	@Test
	void aFirstRunThatSendsNothingIsEndedBeforeTwoRunsWorkForTooLong() {
		Sent first = streamWithCopy();
		this.world.leave(first.target());
		Sent second = this.world.arrive();
		this.world.passTime(310);
		assertThat(this.world.abandoned).containsExactly("1/" + first.attempt());
		assertThat(this.world.event(second, 2)).isTrue();
		assertThat(this.world.answers(1)).containsExactly("started");
	}

	private Sent streamWithCopy() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.join(DispatchHarness.ENGINES, "b");
		this.world.openStream(1);
		Sent first = this.world.arrive();
		this.world.event(first, 0);
		this.world.event(first, 1);
		return first;
	}

	@Test
	void aGenerationThatGoesOnAtAnEngineWhichLeavesTooIsMovedFromThere() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.join(DispatchHarness.ENGINES, "b");
		this.world.openStream(1);
		Sent first = this.world.arrive();
		this.world.event(first, 0);
		this.world.leave(first.target());
		Sent second = this.world.arrive();
		this.world.join(DispatchHarness.ENGINES, "c");
		this.world.leave(second.target());
		this.world.event(first, 1);
		assertThat(this.world.event(second, 1)).isFalse();
		this.world.passTime(AFTER_NOTICE);
		assertThat(this.world.copies).hasSize(1);
		assertThat(this.world.copies.get(0).source()).isEqualTo(second.target());
		assertThat(this.world.copies.get(0).destination().id()).isEqualTo("c");
	}

	@Test
	void aGenerationDoesNotGoOnAtACopyWhoseEngineLeavesAtTheSameTime() {
		ListedTarget a = this.world.join(DispatchHarness.ENGINES, "a");
		ListedTarget b = this.world.join(DispatchHarness.ENGINES, "b");
		this.world.openStream(1);
		Sent first = this.world.arrive();
		this.world.event(first, 0);
		this.world.join(DispatchHarness.ENGINES, "c");
		ListedTarget copy = first.target().equals(a) ? b : a;
		this.world.directory.together(() -> {
			this.world.leave(first.target());
			this.world.directory.remove(copy.id(), this.world.now);
		});
		this.world.passTime(AFTER_NOTICE);
		assertThat(this.world.sent).hasSize(1);
		assertThat(this.world.copies).hasSize(1);
		assertThat(this.world.copies.get(0).destination().id()).isEqualTo("c");
	}

	@Test
	void aRunThatBeginsAfterTheNoticeIsCopiedOnceItRunsSinceItsRunningCopyIsNotThereYet() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.join(DispatchHarness.ENGINES, "b");
		this.world.openStream(1);
		Sent first = this.world.arrive();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		assertThat(this.world.copies).isEmpty();
		this.world.event(first, 0);
		this.world.passTime(AFTER_NOTICE);
		assertThat(this.world.copies).hasSize(1);
		assertThat(this.world.sent).hasSize(1);
		this.world.breakOff(first);
		Sent second = this.world.arrive();
		assertThat(second.target().address()).isEqualTo(first.order().backup().get());
	}

	@Test
	void aRunThatBeginsLateIsStoppedInTimeForItsEnginesNotice() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.openStream(1, TOO_LARGE_FOR_A_COPY);
		Sent late = this.world.arrive();
		this.world.join(DispatchHarness.ENGINES, "b");
		this.world.leave(late.target());
		this.world.passTime(1_300);
		this.world.event(late, 0);
		this.world.passTime(AFTER_NOTICE);
		this.world.now += 300;
		this.world.copied(Outcome.COPIED, "h1");
		assertThat(this.world.copies.get(1).stop()).isTrue();
	}

	@Test
	void aStandbyCopyWaitsForMovesInItsDataCentreAndForCopiesOverItsLinks() {
		streamWithoutRunningCopy();
		ListedTarget other = this.world.join(DispatchHarness.ENGINES, "c");
		this.world.leave(other);
		this.world.passTime(1_500);
		assertThat(this.world.copies).isEmpty();
		this.world.ourTurn = false;
		this.world.passTime(1_000);
		assertThat(this.world.copies).isEmpty();
		this.world.ourTurn = true;
		this.world.passTime(100);
		assertThat(this.world.copies).hasSize(1);
	}

	@Test
	void whereTheEngineEndsBeforeTheLastPartTheGenerationGoesOnAtThePartCopiedBefore() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		ListedTarget destination = this.world.copies.get(0).destination();
		this.world.copied(Outcome.COPIED, "h1");
		assertThat(this.world.copies.get(1).stop()).isTrue();
		this.world.breakOff(first);
		this.world.copied(Outcome.NO_ANSWER, "");
		Sent second = this.world.arrive();
		assertThat(second.target()).isEqualTo(destination);
		assertThat(second.order().resume())
			.isEqualTo(Optional.of(new ResumePoint(first.target().address(), "h1", "0")));
	}

	@Test
	void aCopyThatHasToBeOrderedAgainGoesWhereAPartOfItStands() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		ListedTarget destination = this.world.copies.get(0).destination();
		this.world.now += 300;
		this.world.copied(Outcome.COPIED, "h1");
		this.world.join(DispatchHarness.ENGINES, "c");
		this.world.beliefs.change(destination, (b) -> b.held(6_000));
		this.world.copied(Outcome.UNDER_WAY, "");
		this.world.passTime(100);
		assertThat(this.world.copies).hasSize(3);
		assertThat(this.world.copies.get(2).destination()).isEqualTo(destination);
	}

	@Test
	void aPartThatStandsIsUsedWhereTheEngineEndsBeforeTheNextOrder() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		ListedTarget destination = this.world.copies.get(0).destination();
		this.world.copied(Outcome.COPIED, "h1");
		this.world.copied(Outcome.NO_ANSWER, "");
		this.world.breakOff(first);
		Sent second = this.world.arrive();
		assertThat(second.target()).isEqualTo(destination);
		assertThat(second.order().resume())
			.isEqualTo(Optional.of(new ResumePoint(first.target().address(), "h1", "0")));
	}

	@Test
	void aCopyGoesWhereTheLinkIsFree() {
		Sent first = streamWithoutRunningCopy();
		ListedTarget free = this.world.join(DispatchHarness.ENGINES, "c");
		ListedTarget busy = this.world.directory.find("b").get();
		this.world.beliefs.change(free, (b) -> b.held(5_000));
		this.world.beliefs.of(busy).copying(1);
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		assertThat(this.world.copies.get(0).destination()).isEqualTo(free);
	}

	@Test
	void anEngineThatDoesNotAnswerAnOrderSaysNothingOfTheDestination() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		ListedTarget destination = this.world.copies.get(0).destination();
		this.world.copied(Outcome.NO_ANSWER, "");
		assertThat(this.world.beliefs.of(destination).isFull(this.world.now)).isFalse();
	}

	@Test
	void goesOnAtItsRunningCopyWhenTheEngineDies() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.join(DispatchHarness.ENGINES, "b");
		this.world.openStream(1);
		Sent first = this.world.arrive();
		this.world.event(first, 0);
		this.world.breakOff(first);
		Sent second = this.world.arrive();
		assertThat(second.order().resume().isPresent()).isTrue();
		assertThat(this.world.event(second, 1)).isTrue();
		this.world.dispatcher.streamEnded(1, second.attempt(), this.world.now);
		assertThat(this.world.answers(1)).containsExactly("started", "ended").inOrder();
	}

	@Test
	void whereTheRunningCopyIsOfNoUseTheRunIsCopiedAndStopped() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.join(DispatchHarness.ENGINES, "b");
		this.world.openStream(1);
		Sent first = this.world.arrive();
		this.world.event(first, 0);
		this.world.leave(first.target());
		this.world.answer(this.world.arrive(), 503, true);
		this.world.passTime(AFTER_NOTICE);
		assertThat(this.world.copies).hasSize(1);
		assertThat(this.world.copies.get(0).stop()).isFalse();
		assertThat(this.world.event(first, 1)).isTrue();
	}

	@Test
	void copiesWhileTheRunGoesOnAndStopsItBehindAQuickRound() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		assertThat(this.world.copies).hasSize(1);
		this.world.now += 400;
		this.world.copied(Outcome.COPIED, "h1");
		assertThat(this.world.copies.get(1).stop()).isFalse();
		this.world.now += 20;
		this.world.copied(Outcome.COPIED, "h1");
		assertThat(this.world.copies.get(2).stop()).isTrue();
		assertThat(this.world.event(first, 1)).isTrue();
		this.world.breakOff(first);
		assertThat(this.world.answers(1)).containsExactly("started");
		this.world.now += 10;
		this.world.copied(Outcome.COPIED, "h1");
		Sent second = this.world.arrive();
		assertThat(second.target().id()).isEqualTo(this.world.copies.get(2).destination().id());
		assertThat(second.order().resume())
			.isEqualTo(Optional.of(new ResumePoint(first.target().address(), "h1", "1")));
		assertThat(this.world.event(second, 2)).isTrue();
	}

	@Test
	void aStoppedRunWhoseCopyIsRefusedGoesOnWhereItStoppedAndIsCopiedAnew() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		this.world.copied(Outcome.COPIED, "h1");
		this.world.breakOff(first);
		this.world.copied(Outcome.COPIED, "h1");
		Sent second = this.world.arrive();
		this.world.answer(second, 503, true);
		Sent third = this.world.arrive();
		assertThat(third.target()).isEqualTo(first.target());
		assertThat(third.order().resume()).isEqualTo(second.order().resume());
		int copiesBefore = this.world.copies.size();
		assertThat(this.world.event(third, 1)).isTrue();
		this.world.passTime(AFTER_NOTICE);
		assertThat(this.world.copies).hasSize(copiesBefore + 1);
	}

	@Test
	void aStoppedRunThatIsRefusedAtBothEnginesIsLost() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		this.world.copied(Outcome.COPIED, "h1");
		this.world.breakOff(first);
		this.world.copied(Outcome.COPIED, "h1");
		this.world.answer(this.world.arrive(), 503, true);
		this.world.answer(this.world.arrive(), 503, true);
		assertThat(this.world.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void waitsForTheLastEventsOfAStoppedRunButNotForLong() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		this.world.copied(Outcome.COPIED, "h1");
		this.world.copied(Outcome.COPIED, "h1");
		int sentBefore = this.world.sent.size();
		assertThat(this.world.event(first, 1)).isTrue();
		this.world.passTime(100);
		assertThat(this.world.sent).hasSize(sentBefore + 1);
		assertThat(this.world.sent.get(sentBefore).order().resume().get().lastEvent()).isEqualTo("1");
		assertThat(this.world.abandoned).contains("1/" + first.attempt());
	}

	@Test
	void triesAnotherEngineWhereOneHasNoRoom() {
		Sent first = streamWithoutRunningCopy();
		this.world.join(DispatchHarness.ENGINES, "c");
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		String tried = this.world.copies.get(0).destination().id();
		this.world.copied(Outcome.NO_ROOM, "");
		assertThat(this.world.copies).hasSize(2);
		assertThat(this.world.copies.get(1).destination().id()).isNotEqualTo(tried);
	}

	@Test
	void triesAnotherEngineWhereACopyFails() {
		Sent first = streamWithoutRunningCopy();
		this.world.join(DispatchHarness.ENGINES, "c");
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		String tried = this.world.copies.get(0).destination().id();
		this.world.copied(Outcome.FAILED, "");
		assertThat(this.world.copies).hasSize(2);
		assertThat(this.world.copies.get(1).destination().id()).isNotEqualTo(tried);
	}

	@Test
	void aRunThatHasNotBegunIsCopiedOnceItHas() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		this.world.copied(Outcome.NO_SUCH_RUN, "");
		this.world.passTime(60);
		assertThat(this.world.copies).hasSize(2);
	}

	@Test
	void copiesOfOneEngineAreMadeOneAfterTheOther() {
		ListedTarget source = this.world.join(DispatchHarness.ENGINES, "a");
		for (long call = 1; call <= 3; call++) {
			this.world.openStream(call);
			this.world.event(this.world.arrive(), 0);
		}
		this.world.join(DispatchHarness.ENGINES, "b");
		this.world.leave(source);
		this.world.passTime(AFTER_NOTICE);
		this.world.dispatcher.callerLeft(3, this.world.now);
		assertThat(this.world.copies).hasSize(1);
		for (int round = 0; round < 2; round++) {
			assertThat(this.world.copies.get(round).requestId()).isEqualTo(this.world.copies.get(0).requestId());
			this.world.copied(Outcome.COPIED, "h");
		}
		this.world.passTime(AFTER_NOTICE);
		assertThat(this.world.copies).hasSize(3);
		assertThat(this.world.copies.get(2).requestId()).isNotEqualTo(this.world.copies.get(0).requestId());
	}

	@Test
	void waitsForItsTurn() {
		Sent first = streamWithoutRunningCopy();
		this.world.ourTurn = false;
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		assertThat(this.world.copies).isEmpty();
		this.world.ourTurn = true;
		this.world.passTime(10);
		assertThat(this.world.copies).hasSize(1);
	}

	@Test
	void keepsAStandbyCopyWhereThereIsNoRunningOneAndBringsItUpToDate() {
		Sent first = streamWithStandbyCopy();
		CopyOrder order = this.world.copies.get(0);
		assertThat(order.stop()).isFalse();
		this.world.event(first, 1);
		this.world.passTime(3_000);
		assertThat(this.world.copies).hasSize(2);
		assertThat(this.world.copies.get(1).destination().id()).isEqualTo(order.destination().id());
	}

	@Test
	void givesAStandbyCopyUpOnceGenerationsNeedTheFleetsMemory() {
		Sent first = streamWithStandbyCopy();
		fill(0.3);
		this.world.passTime(3_000);
		assertThat(this.world.released).isEmpty();
		fill(0.6);
		this.world.passTime(3_000);
		assertThat(this.world.released).containsExactly(first.target().id() + "/s1");
		assertThat(this.world.copies).hasSize(2);
	}

	@Test
	void keepsNoStandbyCopyWhereTheFleetIsMoreThanHalfFull() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.openStream(1, 9_000);
		Sent sent = this.world.arrive();
		this.world.join(DispatchHarness.ENGINES, "b");
		fill(0.45);
		this.world.event(sent, 0);
		this.world.passTime(3_000);
		assertThat(this.world.copies).isEmpty();
	}

	// Lets other entries hold a part of the memory of both engines.
	private void fill(double part) {
		for (String id : List.of("a", "b")) {
			this.world.others.put(id,
					new WorkAtTarget(TargetRun.of(id), 1, (long) (part * 34_000), 0, 0, false, 0, false));
		}
	}

	@Test
	void whatIsNearlyCopiedNeedsNoTurn() {
		Sent first = streamWithStandbyCopy();
		this.world.ourTurn = false;
		this.world.leave(first.target());
		assertThat(this.world.copies).hasSize(2);
		assertThat(this.world.copies.get(1).destination().id()).isEqualTo(this.world.copies.get(0).destination().id());
	}

	@Test
	void aCallerThatLeavesDuringAStandbyCopyEndsIt() {
		Sent sent = streamWithStandbyCopyUnderWay();
		this.world.dispatcher.callerLeft(1, this.world.now);
		assertThat(this.world.beliefs.of(sent.target()).isCopying()).isFalse();
		assertThat(this.world.lastAudit().target()).isEqualTo(sent.target().id());
	}

	@Test
	void aStreamThatIsCutDuringAStandbyCopyEndsItAndTellsWhere() {
		Sent sent = streamWithStandbyCopyUnderWay();
		this.world.event(sent, 5);
		assertThat(this.world.answers(1)).contains("cut");
		assertThat(this.world.beliefs.of(sent.target()).isCopying()).isFalse();
		assertThat(this.world.lastAudit().target()).isEqualTo(sent.target().id());
	}

	private Sent streamWithStandbyCopyUnderWay() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.openStream(1, 9_000);
		Sent sent = this.world.arrive();
		this.world.join(DispatchHarness.ENGINES, "b");
		this.world.event(sent, 0);
		this.world.passTime(800);
		assertThat(this.world.copies).hasSize(1);
		assertThat(this.world.beliefs.of(sent.target()).isCopying()).isTrue();
		return sent;
	}

	@Test
	void aLostRunGoesOnAtItsStandbyCopy() {
		Sent first = streamWithStandbyCopy();
		this.world.event(first, 1);
		this.world.breakOff(first);
		Sent second = this.world.arrive();
		assertThat(second.order().resume())
			.isEqualTo(Optional.of(new ResumePoint(first.target().address(), "s1", "1")));
		assertThat(this.world.event(second, 2)).isTrue();
	}

	@Test
	void aLostRunGoesOnAtWhatItsMoveHasCopied() {
		Sent first = streamWithStandbyCopy();
		this.world.leave(first.target());
		this.world.event(first, 1);
		this.world.breakOff(first);
		Sent second = this.world.arrive();
		assertThat(second.order().resume().get().handle()).isEqualTo("s1");
	}

	private Sent streamWithStandbyCopy() {
		Sent first = streamWithStandbyCopyUnderWay();
		this.world.copied(Outcome.COPIED, "s1");
		return first;
	}

	@Test
	void releasesACopyThatIsNotNeededAnyMore() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(400);
		this.world.copied(Outcome.COPIED, "h1");
		this.world.dispatcher.streamEnded(1, first.attempt(), this.world.now);
		assertThat(this.world.answers(1)).containsExactly("started", "ended").inOrder();
		assertThat(this.world.released).contains(first.target().id() + "/h1");
	}

	@Test
	void aCallThatIsOverHoldsNothing() {
		Sent first = streamWithoutRunningCopy();
		this.world.leave(first.target());
		this.world.passTime(AFTER_NOTICE);
		this.world.dispatcher.callerLeft(1, this.world.now);
		this.world.copied(Outcome.COPIED, "h1");
		assertThat(this.world.released).contains(first.target().id() + "/h1");
		assertThat(this.world.beliefs.ownWork()).isEmpty();
	}

	// A prompt so large that no engine has room for a running copy beside it.
	private Sent streamWithoutRunningCopy() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.openStream(1, TOO_LARGE_FOR_A_COPY);
		Sent first = this.world.arrive();
		this.world.join(DispatchHarness.ENGINES, "b");
		assertThat(first.order().backup()).isEqualTo(Optional.empty());
		this.world.event(first, 0);
		return first;
	}

}
