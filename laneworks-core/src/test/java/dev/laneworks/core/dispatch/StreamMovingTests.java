package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Optional;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.dispatch.CopyResult.Outcome;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.gossip.WorkAtTarget;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Dispatcher} and {@link StreamMover}: streams and their moves between
 * engines.
 */
class StreamMovingTests {

	private static final long TOKENS_TOO_LARGE_FOR_COPY = 22_000;

	/**
	 * Longer than the time after a reclaim notice that is reserved for small copies.
	 */
	private static final long AFTER_SMALL_COPIES_MILLIS = 90;

	/** Time after which a draining engine receives no requests. */
	private static final long DRAIN_MILLIS = 3_000;

	private final DispatchHarness harness = DispatchHarness.create();

	@Test
	void deliversEachEventOnceInOrder() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1);
		Sent sent = this.harness.sendLast();
		assertThat(this.harness.event(sent, 0)).isTrue();
		assertThat(this.harness.event(sent, 1)).isTrue();
		this.harness.dispatcher.streamEnded(1, sent.attempt(), AnswerEnd.MARKED, 50);
		assertThat(this.harness.answers(1)).containsExactly("started", "ended").inOrder();
	}

	// Guards against a repeated id that hides an event: nothing is known before the first
	// attempt.
	@Test
	void repeatedEventOfAFirstAttemptCutsTheStream() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1);
		Sent sent = this.harness.sendLast();
		this.harness.event(sent, 0);
		this.harness.event(sent, 1);
		assertThat(this.harness.event(sent, 1)).isFalse();
		this.harness.dispatcher.streamEnded(1, sent.attempt(), AnswerEnd.MARKED, 50);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void missingEventCutsTheStream() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1);
		Sent sent = this.harness.sendLast();
		this.harness.event(sent, 0);
		assertThat(this.harness.event(sent, 2)).isFalse();
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void startedStreamIsNotRestarted() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1);
		this.harness.join(DispatchHarness.ENGINES, "b");
		Sent sent = this.harness.sendLast();
		this.harness.event(sent, 0);
		this.harness.breakConnection(sent);
		assertThat(this.harness.sent).hasSize(1);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void resumesAtLiveCopyWhenEngineDrainsAndAbandonsFirstAttemptAtFirstEvent() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.openStream(1);
		Sent first = this.harness.sendLast();
		ListedTarget source = first.target();
		assertThat(first.order().liveCopy().isPresent()).isTrue();
		this.harness.event(first, 0);
		this.harness.event(first, 1);
		this.harness.drain(source);
		Sent second = this.harness.sendLast();
		assertThat(second.target().address()).isEqualTo(first.order().liveCopy().get());
		assertThat(second.order().resume())
			.isEqualTo(Optional.of(new ResumePoint(second.target().address(), DispatchHarness.id(1), "1")));
		assertThat(this.harness.abandoned).isEmpty();
		assertThat(this.harness.event(first, 2)).isTrue();
		assertThat(this.harness.event(second, 2)).isFalse();
		assertThat(this.harness.abandoned).containsExactly("1/" + first.attempt());
		assertThat(this.harness.event(second, 3)).isTrue();
		assertThat(this.harness.event(first, 3)).isFalse();
	}

	@Test
	void silentCopyIsAbandonedWhileFirstAttemptSendsEvents() {
		Sent first = streamWithLiveCopy();
		this.harness.drain(first.target());
		Sent second = this.harness.sendLast();
		this.harness.passTime(250);
		this.harness.event(first, 2);
		this.harness.passTime(60);
		assertThat(this.harness.abandoned).containsExactly("1/" + second.attempt());
		assertThat(this.harness.event(first, 3)).isTrue();
		this.harness.passTime(100);
		assertThat(this.harness.copies).hasSize(1);
	}

	@Test
	void silentFirstAttemptIsAbandonedAfterTimeout() {
		Sent first = streamWithLiveCopy();
		this.harness.drain(first.target());
		Sent second = this.harness.sendLast();
		this.harness.passTime(310);
		assertThat(this.harness.abandoned).containsExactly("1/" + first.attempt());
		assertThat(this.harness.event(second, 2)).isTrue();
		assertThat(this.harness.answers(1)).containsExactly("started");
	}

	private Sent streamWithLiveCopy() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.openStream(1);
		Sent first = this.harness.sendLast();
		this.harness.event(first, 0);
		this.harness.event(first, 1);
		return first;
	}

	@Test
	void generationResumedAtDrainingEngineIsMovedAgain() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.openStream(1);
		Sent first = this.harness.sendLast();
		this.harness.event(first, 0);
		this.harness.drain(first.target());
		Sent second = this.harness.sendLast();
		this.harness.join(DispatchHarness.ENGINES, "c");
		this.harness.drain(second.target());
		this.harness.event(first, 1);
		assertThat(this.harness.event(second, 1)).isFalse();
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		assertThat(this.harness.copies).hasSize(1);
		assertThat(this.harness.copies.get(0).source()).isEqualTo(second.target());
		assertThat(this.harness.copies.get(0).destination().id()).isEqualTo("c");
	}

	@Test
	void generationDoesNotResumeAtCopyWhoseEngineDrainsAtTheSameTime() {
		ListedTarget a = this.harness.join(DispatchHarness.ENGINES, "a");
		ListedTarget b = this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.openStream(1);
		Sent first = this.harness.sendLast();
		this.harness.event(first, 0);
		this.harness.join(DispatchHarness.ENGINES, "c");
		ListedTarget copy = first.target().equals(a) ? b : a;
		this.harness.directory.batch(() -> {
			this.harness.drain(first.target());
			this.harness.directory.remove(copy.id(), this.harness.now);
		});
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		assertThat(this.harness.sent).hasSize(1);
		assertThat(this.harness.copies).hasSize(1);
		assertThat(this.harness.copies.get(0).destination().id()).isEqualTo("c");
	}

	@Test
	void generationStartedAfterNoticeIsCopiedBeforeItsLiveCopyExists() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.openStream(1);
		Sent first = this.harness.sendLast();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		assertThat(this.harness.copies).isEmpty();
		this.harness.event(first, 0);
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		assertThat(this.harness.copies).hasSize(1);
		assertThat(this.harness.sent).hasSize(1);
		this.harness.breakConnection(first);
		Sent second = this.harness.sendLast();
		assertThat(second.target().address()).isEqualTo(first.order().liveCopy().get());
	}

	@Test
	void generationStartedLateIsStoppedWithinReclaimNotice() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1, TOKENS_TOO_LARGE_FOR_COPY);
		Sent late = this.harness.sendLast();
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.drain(late.target());
		this.harness.passTime(1_300);
		this.harness.event(late, 0);
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.now += 300;
		this.harness.copied(Outcome.COPIED, "h1");
		assertThat(this.harness.copies.get(1).stopFirst()).isTrue();
	}

	@Test
	void standbyCopyWaitsForMovesAndForCopiesOnItsLinks() {
		streamWithoutLiveCopy();
		ListedTarget other = this.harness.join(DispatchHarness.ENGINES, "c");
		this.harness.drain(other);
		this.harness.passTime(1_500);
		assertThat(this.harness.copies).isEmpty();
		this.harness.mayCopy = false;
		this.harness.passTime(1_000);
		assertThat(this.harness.copies).isEmpty();
		this.harness.mayCopy = true;
		this.harness.passTime(100);
		assertThat(this.harness.copies).hasSize(1);
	}

	@Test
	void resumesAtPartialCopyWhenEngineCrashesBeforeFinalCopy() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		ListedTarget destination = this.harness.copies.get(0).destination();
		this.harness.copied(Outcome.COPIED, "h1");
		assertThat(this.harness.copies.get(1).stopFirst()).isTrue();
		this.harness.breakConnection(first);
		this.harness.copied(Outcome.NO_ANSWER, "");
		Sent second = this.harness.sendLast();
		assertThat(second.target()).isEqualTo(destination);
		assertThat(second.order().resume())
			.isEqualTo(Optional.of(new ResumePoint(first.target().address(), "h1", "0")));
	}

	@Test
	void repeatedCopyOrderKeepsDestinationOfPartialCopy() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		ListedTarget destination = this.harness.copies.get(0).destination();
		this.harness.now += 300;
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.join(DispatchHarness.ENGINES, "c");
		this.harness.estimates.update(destination, (b) -> b.addReservedTokens(6_000));
		this.harness.copied(Outcome.UNDER_WAY, "");
		this.harness.passTime(100);
		assertThat(this.harness.copies).hasSize(3);
		assertThat(this.harness.copies.get(2).destination()).isEqualTo(destination);
	}

	@Test
	void resumesAtPartialCopyWhenEngineCrashesBeforeNextOrder() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		ListedTarget destination = this.harness.copies.get(0).destination();
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.copied(Outcome.NO_ANSWER, "");
		this.harness.breakConnection(first);
		Sent second = this.harness.sendLast();
		assertThat(second.target()).isEqualTo(destination);
		assertThat(second.order().resume())
			.isEqualTo(Optional.of(new ResumePoint(first.target().address(), "h1", "0")));
	}

	@Test
	void copyPrefersDestinationWithIdleLink() {
		Sent first = streamWithoutLiveCopy();
		ListedTarget free = this.harness.join(DispatchHarness.ENGINES, "c");
		ListedTarget busy = this.harness.directory.find("b").get();
		this.harness.estimates.update(free, (b) -> b.addReservedTokens(5_000));
		this.harness.estimates.of(busy).addCopies(1);
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		assertThat(this.harness.copies.get(0).destination()).isEqualTo(free);
	}

	@Test
	void unansweredCopyOrderDoesNotPenalizeDestination() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		ListedTarget destination = this.harness.copies.get(0).destination();
		this.harness.copied(Outcome.NO_ANSWER, "");
		assertThat(this.harness.estimates.of(destination).isFull(this.harness.now)).isFalse();
	}

	@Test
	void resumesAtLiveCopyWhenEngineCrashes() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.openStream(1);
		Sent first = this.harness.sendLast();
		this.harness.event(first, 0);
		this.harness.breakConnection(first);
		Sent second = this.harness.sendLast();
		assertThat(second.order().resume().isPresent()).isTrue();
		assertThat(this.harness.event(second, 1)).isTrue();
		this.harness.dispatcher.streamEnded(1, second.attempt(), AnswerEnd.MARKED, this.harness.now);
		assertThat(this.harness.answers(1)).containsExactly("started", "ended").inOrder();
	}

	@Test
	void generationIsCopiedWhenItsLiveCopyIsRejected() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.openStream(1);
		Sent first = this.harness.sendLast();
		this.harness.event(first, 0);
		this.harness.drain(first.target());
		this.harness.answer(this.harness.sendLast(), 503, true);
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		assertThat(this.harness.copies).hasSize(1);
		assertThat(this.harness.copies.get(0).stopFirst()).isFalse();
		assertThat(this.harness.event(first, 1)).isTrue();
	}

	// Guards against a stream that is cut after its stop although its engine would serve
	// it
	// until a retry is left.
	@Test
	void generationIsStoppedOnlyOnceTheRetryBudgetAllowsItsResumption() {
		Sent first = streamWithoutLiveCopy();
		this.harness.setRetryLimits(0, 0);
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.passTime(1_000);
		assertThat(this.harness.copies).hasSize(1);
		assertThat(this.harness.event(first, 1)).isTrue();
		this.harness.setRetryLimits(1, 1);
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		assertThat(this.harness.copies).hasSize(2);
		this.harness.copied(Outcome.COPIED, "h1");
		assertThat(this.harness.copies.get(2).stopFirst()).isTrue();
		this.harness.breakConnection(first);
		this.harness.copied(Outcome.COPIED, "h1");
		assertThat(this.harness.sendLast().order().resume().isPresent()).isTrue();
		assertThat(this.harness.answers(1)).containsExactly("started");
	}

	@Test
	void copiesWhileRunningAndStopsAfterAFastCopy() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		assertThat(this.harness.copies).hasSize(1);
		this.harness.now += 400;
		this.harness.copied(Outcome.COPIED, "h1");
		assertThat(this.harness.copies.get(1).stopFirst()).isFalse();
		this.harness.now += 20;
		this.harness.copied(Outcome.COPIED, "h1");
		assertThat(this.harness.copies.get(2).stopFirst()).isTrue();
		assertThat(this.harness.event(first, 1)).isTrue();
		this.harness.breakConnection(first);
		assertThat(this.harness.answers(1)).containsExactly("started");
		this.harness.now += 10;
		this.harness.copied(Outcome.COPIED, "h1");
		Sent second = this.harness.sendLast();
		assertThat(second.target().id()).isEqualTo(this.harness.copies.get(2).destination().id());
		assertThat(second.order().resume())
			.isEqualTo(Optional.of(new ResumePoint(first.target().address(), "h1", "1")));
		assertThat(this.harness.event(second, 2)).isTrue();
	}

	@Test
	void stoppedGenerationWhoseCopyIsRejectedResumesAtSourceAndIsCopiedAgain() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.breakConnection(first);
		this.harness.copied(Outcome.COPIED, "h1");
		Sent second = this.harness.sendLast();
		this.harness.answer(second, 503, true);
		Sent third = this.harness.sendLast();
		assertThat(third.target()).isEqualTo(first.target());
		assertThat(third.order().resume()).isEqualTo(second.order().resume());
		int copiesBefore = this.harness.copies.size();
		assertThat(this.harness.event(third, 1)).isTrue();
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		assertThat(this.harness.copies).hasSize(copiesBefore + 1);
	}

	// Guards against a request to an engine that began to drain over three seconds
	// before.
	@Test
	void generationDoesNotReturnToSourceThatLeftLongBefore() {
		Sent first = stopForMoveAfter(DRAIN_MILLIS);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.answer(this.harness.sendLast(), 503, true);
		assertThat(lastSent().target()).isNotEqualTo(first.target());
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void generationWhoseFinalCopyFailsLateResumesAtItsPartialCopy() {
		stopForMoveAfter(DRAIN_MILLIS);
		ListedTarget destination = this.harness.copies.get(0).destination();
		this.harness.copied(Outcome.NO_ROOM, "h1");
		assertThat(lastSent().target()).isEqualTo(destination);
	}

	@Test
	void generationDoesNotResumeAtDestinationThatLeftLongBefore() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		ListedTarget destination = this.harness.copies.get(0).destination();
		this.harness.drain(destination);
		this.harness.passTime(DRAIN_MILLIS);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.breakConnection(first);
		this.harness.copied(Outcome.COPIED, "h1");
		assertThat(this.harness.sent).containsExactly(first);
	}

	// Stops the generation of call 1 by a slow copy after a time since the notice.
	private Sent stopForMoveAfter(long millis) {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(millis);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.breakConnection(first);
		return first;
	}

	private Sent lastSent() {
		return this.harness.sent.get(this.harness.sent.size() - 1);
	}

	// Guards against a stopped generation that is lost while a loan of retries is on its
	// way.
	@Test
	void stoppedGenerationWaitsForALoanOfRetries() {
		stopForMoveWithoutRetries();
		int sentBefore = this.harness.sent.size();
		this.harness.passTime(30);
		assertThat(this.harness.sent).hasSize(sentBefore);
		this.harness.setRetryLimits(0, 1);
		this.harness.passTime(10);
		assertThat(this.harness.sent).hasSize(sentBefore + 1);
		assertThat(this.harness.sendLast().order().resume().get().handle()).isEqualTo("h1");
	}

	@Test
	void stoppedGenerationIsCutIfNobodyLendsRetries() {
		stopForMoveWithoutRetries();
		this.harness.passTime(110);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void stoppedGenerationDoesNotResumeAfterItsCallerLeft() {
		stopForMoveWithoutRetries();
		int sentBefore = this.harness.sent.size();
		this.harness.dispatcher.callerDisconnected(1, this.harness.now);
		this.harness.setRetryLimits(0, 1);
		this.harness.passTime(50);
		assertThat(this.harness.sent).hasSize(sentBefore);
	}

	private void stopForMoveWithoutRetries() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.setRetryLimits(0, 0);
		this.harness.breakConnection(first);
		this.harness.copied(Outcome.COPIED, "h1");
	}

	@Test
	void stoppedGenerationRejectedByBothEnginesIsCut() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.breakConnection(first);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.answer(this.harness.sendLast(), 503, true);
		this.harness.answer(this.harness.sendLast(), 503, true);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void waitForLastEventsOfStoppedGenerationTimesOut() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.copied(Outcome.COPIED, "h1");
		int sentBefore = this.harness.sent.size();
		assertThat(this.harness.event(first, 1)).isTrue();
		this.harness.passTime(100);
		assertThat(this.harness.sent).hasSize(sentBefore + 1);
		assertThat(this.harness.sent.get(sentBefore).order().resume().get().lastEvent()).isEqualTo("1");
		assertThat(this.harness.abandoned).contains("1/" + first.attempt());
	}

	@Test
	void copiesToAnotherEngineWhenDestinationHasNoMemory() {
		Sent first = streamWithoutLiveCopy();
		this.harness.join(DispatchHarness.ENGINES, "c");
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		String tried = this.harness.copies.get(0).destination().id();
		this.harness.copied(Outcome.NO_ROOM, "");
		assertThat(this.harness.copies).hasSize(2);
		assertThat(this.harness.copies.get(1).destination().id()).isNotEqualTo(tried);
	}

	@Test
	void copiesToAnotherEngineWhenCopyFails() {
		Sent first = streamWithoutLiveCopy();
		this.harness.join(DispatchHarness.ENGINES, "c");
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		String tried = this.harness.copies.get(0).destination().id();
		this.harness.copied(Outcome.FAILED, "");
		assertThat(this.harness.copies).hasSize(2);
		assertThat(this.harness.copies.get(1).destination().id()).isNotEqualTo(tried);
	}

	@Test
	void generationNotStartedYetIsCopiedOnceStarted() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.copied(Outcome.NO_SUCH_RUN, "");
		this.harness.passTime(60);
		assertThat(this.harness.copies).hasSize(2);
	}

	@Test
	void copiesFromOneEngineAreSequential() {
		ListedTarget source = this.harness.join(DispatchHarness.ENGINES, "a");
		for (long call = 1; call <= 3; call++) {
			this.harness.openStream(call);
			this.harness.event(this.harness.sendLast(), 0);
		}
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.drain(source);
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.dispatcher.callerDisconnected(3, this.harness.now);
		assertThat(this.harness.copies).hasSize(1);
		for (int round = 0; round < 2; round++) {
			assertThat(this.harness.copies.get(round).requestId()).isEqualTo(this.harness.copies.get(0).requestId());
			this.harness.copied(Outcome.COPIED, "h");
		}
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		assertThat(this.harness.copies).hasSize(3);
		assertThat(this.harness.copies.get(2).requestId()).isNotEqualTo(this.harness.copies.get(0).requestId());
	}

	@Test
	void waitsForItsTurn() {
		Sent first = streamWithoutLiveCopy();
		this.harness.mayCopy = false;
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		assertThat(this.harness.copies).isEmpty();
		this.harness.mayCopy = true;
		this.harness.passTime(10);
		assertThat(this.harness.copies).hasSize(1);
	}

	@Test
	void keepsAndRefreshesStandbyCopyWithoutLiveCopy() {
		Sent first = streamWithStandbyCopy();
		CopyOrder order = this.harness.copies.get(0);
		assertThat(order.stopFirst()).isFalse();
		this.harness.event(first, 1);
		this.harness.passTime(3_000);
		assertThat(this.harness.copies).hasSize(2);
		assertThat(this.harness.copies.get(1).destination().id()).isEqualTo(order.destination().id());
	}

	@Test
	void releasesStandbyCopyWhenFleetMemoryIsNeeded() {
		Sent first = streamWithStandbyCopy();
		reserveMemory(0.3);
		this.harness.passTime(3_000);
		assertThat(this.harness.released).isEmpty();
		reserveMemory(0.6);
		this.harness.passTime(3_000);
		assertThat(this.harness.released).containsExactly(first.target().id() + "/s1");
		assertThat(this.harness.copies).hasSize(2);
	}

	@Test
	void createsNoStandbyCopyWhenFleetIsMoreThanHalfFull() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1, 9_000);
		Sent sent = this.harness.sendLast();
		this.harness.join(DispatchHarness.ENGINES, "b");
		reserveMemory(0.45);
		this.harness.event(sent, 0);
		this.harness.passTime(3_000);
		assertThat(this.harness.copies).isEmpty();
	}

	// Reserves a share of the memory of both engines for other entries.
	private void reserveMemory(double share) {
		for (String id : List.of("a", "b")) {
			this.harness.workOfOthers.put(id,
					new WorkAtTarget(TargetIncarnation.of(id), 1, (long) (share * 34_000), 0, 0, false, 0, false));
		}
	}

	@Test
	void smallCopyNeedsNoTurn() {
		Sent first = streamWithStandbyCopy();
		this.harness.mayCopy = false;
		this.harness.drain(first.target());
		assertThat(this.harness.copies).hasSize(2);
		assertThat(this.harness.copies.get(1).destination().id())
			.isEqualTo(this.harness.copies.get(0).destination().id());
	}

	@Test
	void callerDisconnectEndsStandbyCopyInProgress() {
		Sent sent = streamWithStandbyCopyUnderWay();
		this.harness.dispatcher.callerDisconnected(1, this.harness.now);
		assertThat(this.harness.estimates.of(sent.target()).isCopying()).isFalse();
		assertThat(this.harness.lastAudit().target()).isEqualTo(sent.target().id());
	}

	@Test
	void cutStreamEndsStandbyCopyInProgressAndRecordsItsTarget() {
		Sent sent = streamWithStandbyCopyUnderWay();
		this.harness.event(sent, 5);
		assertThat(this.harness.answers(1)).contains("cut");
		assertThat(this.harness.estimates.of(sent.target()).isCopying()).isFalse();
		assertThat(this.harness.lastAudit().target()).isEqualTo(sent.target().id());
	}

	private Sent streamWithStandbyCopyUnderWay() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1, 9_000);
		Sent sent = this.harness.sendLast();
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.event(sent, 0);
		this.harness.passTime(800);
		assertThat(this.harness.copies).hasSize(1);
		assertThat(this.harness.estimates.of(sent.target()).isCopying()).isTrue();
		return sent;
	}

	@Test
	void lostGenerationResumesAtStandbyCopy() {
		Sent first = streamWithStandbyCopy();
		this.harness.event(first, 1);
		this.harness.breakConnection(first);
		Sent second = this.harness.sendLast();
		assertThat(second.order().resume())
			.isEqualTo(Optional.of(new ResumePoint(first.target().address(), "s1", "1")));
		assertThat(this.harness.event(second, 2)).isTrue();
	}

	@Test
	void lostGenerationResumesAtPartialCopyOfItsMove() {
		Sent first = streamWithStandbyCopy();
		this.harness.drain(first.target());
		this.harness.event(first, 1);
		this.harness.breakConnection(first);
		Sent second = this.harness.sendLast();
		assertThat(second.order().resume().get().handle()).isEqualTo("s1");
	}

	private Sent streamWithStandbyCopy() {
		Sent first = streamWithStandbyCopyUnderWay();
		this.harness.copied(Outcome.COPIED, "s1");
		return first;
	}

	@Test
	void releasesCopyThatIsNoLongerNeeded() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(400);
		this.harness.copied(Outcome.COPIED, "h1");
		this.harness.dispatcher.streamEnded(1, first.attempt(), AnswerEnd.MARKED, this.harness.now);
		assertThat(this.harness.answers(1)).containsExactly("started", "ended").inOrder();
		assertThat(this.harness.released).contains(first.target().id() + "/h1");
	}

	@Test
	void endedCallHoldsNoReservation() {
		Sent first = streamWithoutLiveCopy();
		this.harness.drain(first.target());
		this.harness.passTime(AFTER_SMALL_COPIES_MILLIS);
		this.harness.dispatcher.callerDisconnected(1, this.harness.now);
		this.harness.copied(Outcome.COPIED, "h1");
		assertThat(this.harness.released).contains(first.target().id() + "/h1");
		assertThat(this.harness.estimates.localWork()).isEmpty();
	}

	// The prompt is so large that no engine has memory for a live copy beside it.
	private Sent streamWithoutLiveCopy() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1, TOKENS_TOO_LARGE_FOR_COPY);
		Sent first = this.harness.sendLast();
		this.harness.join(DispatchHarness.ENGINES, "b");
		assertThat(first.order().liveCopy()).isEqualTo(Optional.empty());
		this.harness.event(first, 0);
		return first;
	}

}
