package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.backpressure.BackpressureSignals;
import dev.laneworks.core.dispatch.CopyResult.Outcome;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.dispatch.ProbeAnswer.Connection;
import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.serving.RequestKind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that an answer which ends with its connection counts as complete only if its
 * target completed it.
 */
class BrokenOffAnswerTests {

	private static final AnswerEnd INSIDE_EVENT = new AnswerEnd(true, 7);

	private static final AnswerEnd BETWEEN_EVENTS = new AnswerEnd(true, 0);

	private static final RequestDigest SAME = new RequestDigest(7, 7, 7);

	private final DispatchHarness harness = DispatchHarness.create();

	@Test
	void streamThatEndsInsideAnEventResumesAtItsCopy() {
		Sent first = startStreamWithCopy();
		end(first, INSIDE_EVENT);
		Sent second = this.harness.sendLast();
		assertThat(second.order().resume().get().lastEvent()).isEqualTo("0");
		assertThat(this.harness.event(second, 1)).isTrue();
		end(second, AnswerEnd.MARKED);
		assertThat(this.harness.answers(1)).containsExactly("started", "ended").inOrder();
	}

	// Guards against a complete stream that is cut since its engine crashed right after
	// it.
	@Test
	void resumptionThatHasNothingLeftToSendIsComplete() {
		Sent first = startStreamWithCopy();
		end(first, BETWEEN_EVENTS);
		this.harness.probed(first.target(), true);
		Sent second = this.harness.sendLast();
		end(second, AnswerEnd.MARKED);
		assertThat(this.harness.answers(1)).containsExactly("started", "ended").inOrder();
	}

	// Guards against a complete stream that is cut since its resumption ends with its
	// connection.
	@Test
	void closeDelimitedResumptionThatHasNothingLeftToSendIsComplete() {
		Sent first = startStreamWithCopy();
		end(first, BETWEEN_EVENTS);
		this.harness.probed(first.target(), true);
		Sent second = this.harness.sendLast();
		end(second, BETWEEN_EVENTS);
		assertThat(this.harness.answers(1)).containsExactly("started");
		this.harness.passTime(100);
		this.harness.lives(second.target());
		assertThat(this.harness.answers(1)).containsExactly("started", "ended").inOrder();
	}

	@Test
	void closeDelimitedResumptionWithoutAnEventIsCutIfItsTargetRefusesConnections() {
		Sent first = startStreamWithCopy();
		end(first, BETWEEN_EVENTS);
		this.harness.probed(first.target(), true);
		Sent second = this.harness.sendLast();
		end(second, BETWEEN_EVENTS);
		this.harness.probed(second.target(), true);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void resumedStreamThatEndsInsideAnEventIsCut() {
		Sent first = startStreamWithCopy();
		end(first, INSIDE_EVENT);
		this.harness.remove(first.target());
		Sent second = this.harness.sendLast();
		this.harness.event(second, 1);
		end(second, INSIDE_EVENT);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	// Guards against a request that clears itself of the crash it has just caused.
	@Test
	void streamThatEndsInsideAnEventIsSuspectedAndClearsNothing() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		Sent sent = openSuspect();
		this.harness.event(sent, 0);
		end(sent, INSIDE_EVENT);
		assertThat(this.harness.cleared).isEmpty();
		this.harness.probed(sent.target(), true);
		assertThat(this.harness.suspected).containsExactly(SAME);
	}

	@Test
	void streamThatEndsWithItsConnectionBeforeItsFirstEventIsSuspected() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		Sent sent = openSuspect();
		end(sent, BETWEEN_EVENTS);
		this.harness.probed(sent.target(), true);
		assertThat(this.harness.suspected).containsExactly(SAME);
		assertThat(this.harness.answers(1)).containsExactly("refused 502");
	}

	@Test
	void streamThatEndsBetweenEventsIsCompleteOnceItsTargetAnswers() {
		Sent sent = endSuspectStream();
		this.harness.passTime(99);
		this.harness.lives(sent.target());
		assertThat(this.harness.answers(1)).containsExactly("started");
		this.harness.passTime(1);
		assertThat(this.harness.identified).containsExactly(sent.target());
		this.harness.lives(sent.target());
		assertThat(this.harness.answers(1)).containsExactly("started", "ended").inOrder();
	}

	// Guards against a stream of a crashed engine that is complete since its port still
	// takes connections.
	@Test
	void acceptedConnectionsConfirmNothing() {
		Sent sent = endSuspectStream();
		for (int count = 0; count < 16; count++) {
			this.harness.passTime(99);
			this.harness.probed(sent.target(), false);
			assertThat(this.harness.answers(1)).containsExactly("started");
		}
		this.harness.passTime(100);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	// Guards against a stream of a crashed engine that is complete since another process
	// has taken over its address.
	@Test
	void answerOfAnotherProcessShowsThatTheTargetHasEnded() {
		Sent sent = endSuspectStream();
		this.harness.passTime(100);
		this.harness.identified(sent.target(), Connection.NEW, "another");
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
		assertThat(this.harness.suspected).containsExactly(SAME);
	}

	// Guards against a stream of a crashed engine that is complete since its restarted
	// process answered for a stream without an earlier connection.
	@Test
	void answerForOneStreamConfirmsNoOther() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1);
		Sent first = this.harness.sendLast();
		this.harness.openStream(2);
		Sent second = this.harness.sendLast();
		this.harness.event(first, 0);
		this.harness.event(second, 0);
		end(first, BETWEEN_EVENTS);
		end(second, BETWEEN_EVENTS);
		this.harness.passTime(100);
		this.harness.identified(second.target(), this.harness.lastProbe,
				new ProbeAnswer(Connection.EARLIER, Optional.empty(), false));
		assertThat(this.harness.answers(1)).containsExactly("started");
		assertThat(this.harness.answers(2)).containsExactly("started", "ended").inOrder();
	}

	@Test
	void streamResumesAtItsCopyIfAnotherProcessAnswers() {
		Sent first = startStreamWithCopy();
		end(first, BETWEEN_EVENTS);
		this.harness.passTime(100);
		this.harness.identified(first.target(), Connection.NEW, "another");
		Sent second = this.harness.sendLast();
		assertThat(second.order().resume().get().lastEvent()).isEqualTo("0");
		this.harness.event(second, 1);
		end(second, AnswerEnd.MARKED);
		assertThat(this.harness.answers(1)).containsExactly("started", "ended").inOrder();
	}

	@Test
	void streamResumesAtItsCopyIfNoProbeIsAnswered() {
		Sent first = startStreamWithCopy();
		end(first, BETWEEN_EVENTS);
		this.harness.passTime(599);
		assertThat(this.harness.sent).hasSize(1);
		this.harness.passTime(1);
		assertThat(this.harness.sendLast().order().resume().get().lastEvent()).isEqualTo("0");
	}

	@Test
	void answerWithoutAnIdProvesTheProcessOnAnEarlierConnectionOnly() {
		Sent sent = endSuspectStream();
		this.harness.passTime(100);
		this.harness.identified(sent.target(), Connection.NEW, "");
		assertThat(this.harness.answers(1)).containsExactly("started");
		this.harness.identified(sent.target(), Connection.EARLIER, "");
		assertThat(this.harness.answers(1)).containsExactly("started", "ended").inOrder();
	}

	// A crashing process may close its port after its connections.
	@Test
	void streamThatEndsBetweenEventsIsCutIfItsTargetRefusesConnectionsSoonAfterAnAcceptedOne() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		Sent sent = openSuspect();
		this.harness.event(sent, 0);
		end(sent, BETWEEN_EVENTS);
		this.harness.passTime(50);
		assertThat(this.harness.checked).containsExactly(sent.target());
		this.harness.lives(sent.target());
		assertThat(this.harness.answers(1)).containsExactly("started");
		this.harness.passTime(49);
		this.harness.probed(sent.target(), true);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
		assertThat(this.harness.suspected).containsExactly(SAME);
	}

	@Test
	void streamThatEndsBetweenEventsIsCutIfItsTargetRefusesConnections() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		Sent sent = openSuspect();
		this.harness.event(sent, 0);
		end(sent, BETWEEN_EVENTS);
		this.harness.probed(sent.target(), true);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
		assertThat(this.harness.suspected).containsExactly(SAME);
		assertThat(this.harness.cleared).isEmpty();
	}

	// A probe may connect before its target crashes and be reported after it.
	@Test
	void probeThatWasOrderedBeforeTheEndOfAnAnswerConfirmsNothing() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		answer(this.harness.sendLast(), BETWEEN_EVENTS);
		Probe earlier = this.harness.lastProbe;
		this.harness.open(2, RequestKind.UNSAFE, 1);
		Sent sent = this.harness.sendLast();
		answer(sent, BETWEEN_EVENTS);
		this.harness.identified(sent.target(), earlier,
				new ProbeAnswer(Connection.NEW, Optional.of(sent.target().id()), false));
		assertThat(this.harness.answers(1)).containsExactly("delivered 1");
		assertThat(this.harness.answers(2)).isEmpty();
		this.harness.probed(sent.target(), true);
		assertThat(this.harness.answers(2)).containsExactly("refused 502");
	}

	@Test
	void plainAnswerThatEndsWithItsConnectionIsNotDeliveredIfItsTargetRefusesConnections() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		Sent sent = this.harness.sendLast();
		answer(sent, BETWEEN_EVENTS);
		assertThat(this.harness.answers(1)).isEmpty();
		this.harness.probed(sent.target(), true);
		assertThat(this.harness.answers(1)).containsExactly("refused 502");
	}

	// A process that has ended may have closed the connection, as a busy one that answers
	// no probe may have done.
	@Test
	void plainAnswerThatEndsWithItsConnectionIsNotDeliveredIfNoProbeIsAnswered() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		answer(this.harness.sendLast(), BETWEEN_EVENTS);
		this.harness.passTime(1_499);
		assertThat(this.harness.identified).hasSize(6);
		assertThat(this.harness.answers(1)).isEmpty();
		this.harness.passTime(1);
		assertThat(this.harness.answers(1)).containsExactly("refused 502");
	}

	// Guards against a stream of a crashed engine that is complete since the first probe
	// was
	// lost or read late.
	@Test
	void streamIsCutIfTheProbeAfterAnInconclusiveOneIsRefused() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		Sent sent = openSuspect();
		this.harness.event(sent, 0);
		end(sent, BETWEEN_EVENTS);
		this.harness.passTime(350);
		assertThat(this.harness.answers(1)).containsExactly("started");
		this.harness.probed(sent.target(), true);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	// Timers that became due during a pause of the process run before it reads what
	// arrived.
	@Test
	void answerIsNotDeliveredAtTheEndOfAPauseBeforeItsProbeIsRead() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		Sent sent = this.harness.sendLast();
		answer(sent, BETWEEN_EVENTS);
		this.harness.timers.run(this.harness.now + 1_000);
		assertThat(this.harness.answers(1)).isEmpty();
		this.harness.probed(sent.target(), true);
		assertThat(this.harness.answers(1)).containsExactly("refused 502");
	}

	// Guards against a wait that is over shortly after its delayed probe was ordered.
	@Test
	void streamIsNotCompleteRightAfterAPauseThatDelayedItsProbe() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		Sent sent = openSuspect();
		this.harness.event(sent, 0);
		end(sent, BETWEEN_EVENTS);
		this.harness.now += 290;
		this.harness.passTime(0);
		this.harness.passTime(100);
		assertThat(this.harness.answers(1)).containsExactly("started");
		this.harness.probed(sent.target(), true);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	// Guards against a target whose answers keep its earlier checks pending for ever.
	@Test
	void eachAnswerIsFollowedByACheckOfItsTarget() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		for (int call = 1; call <= 100; call++) {
			this.harness.open(call, RequestKind.UNSAFE, 1);
			answer(this.harness.sendLast(), BETWEEN_EVENTS);
			this.harness.passTime(40);
		}
		this.harness.checked.clear();
		this.harness.passTime(300);
		assertThat(this.harness.checked).isNotEmpty();
	}

	// A crashing process may close its port after its connections.
	@Test
	void answerClearsItsRequestOnceItsTargetHasOutlivedIt() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		Sent sent = openSuspect();
		this.harness.suspects.recordCrash(SAME, this.harness.join(DispatchHarness.ENGINES, "x").incarnation(),
				this.harness.now, this.harness.now);
		this.harness.event(sent, 0);
		end(sent, BETWEEN_EVENTS);
		this.harness.probed(sent.target(), false);
		assertThat(this.harness.cleared).isEmpty();
		this.harness.passTime(300);
		this.harness.probed(sent.target(), false);
		assertThat(this.harness.cleared).containsExactly(SAME);
	}

	@Test
	void streamStoppedForItsMoveIsNotCompleteWithoutFraming() {
		Sent first = stopForMove();
		end(first, BETWEEN_EVENTS);
		assertThat(this.harness.answers(1)).containsExactly("started");
		this.harness.copied(Outcome.COPIED, "h1");
		Sent second = this.harness.sendLast();
		assertThat(second.order().resume())
			.isEqualTo(Optional.of(new ResumePoint(first.target().address(), "h1", "0")));
	}

	@Test
	void markedStreamThatEndedBeforeItsMoveStoppedItIsComplete() {
		Sent first = stopForMove();
		end(first, AnswerEnd.MARKED);
		this.harness.copied(Outcome.NO_SUCH_RUN, "");
		assertThat(this.harness.answers(1)).containsExactly("started", "ended").inOrder();
		assertThat(this.harness.released).contains(first.target().id() + "/h1");
	}

	// Guards against a stream that is complete on the word of another process at the
	// address.
	@Test
	void closeDelimitedStreamThatEndedBeforeItsMoveStoppedItIsCompleteOnceItsCopyHasNothingLeft() {
		Sent first = stopForMove();
		end(first, BETWEEN_EVENTS);
		this.harness.copied(Outcome.NO_SUCH_RUN, "");
		assertThat(this.harness.answers(1)).containsExactly("started");
		Sent second = this.harness.sendLast();
		assertThat(second.order().resume())
			.isEqualTo(Optional.of(new ResumePoint(first.target().address(), "h1", "0")));
		end(second, AnswerEnd.MARKED);
		assertThat(this.harness.answers(1)).containsExactly("started", "ended").inOrder();
	}

	@Test
	void closeDelimitedStreamThatEndedBeforeItsMoveStoppedItIsCompleteWithoutACopyIfItsTargetLives() {
		Sent first = stopForMove();
		this.harness.remove(this.harness.copies.get(1).destination());
		this.harness.passTime(3_000);
		end(first, BETWEEN_EVENTS);
		this.harness.copied(Outcome.NO_SUCH_RUN, "");
		this.harness.passTime(100);
		this.harness.lives(first.target());
		assertThat(this.harness.answers(1)).containsExactly("started", "ended").inOrder();
	}

	private Sent startStreamWithCopy() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.openStream(1);
		Sent first = this.harness.sendLast();
		this.harness.event(first, 0);
		return first;
	}

	private Sent stopForMove() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.openStream(1, 22_000);
		Sent first = this.harness.sendLast();
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.event(first, 0);
		this.harness.drain(first.target());
		this.harness.passTime(90);
		this.harness.copied(Outcome.COPIED, "h1");
		assertThat(this.harness.copies.get(1).stopFirst()).isTrue();
		return first;
	}

	private Sent endSuspectStream() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		Sent sent = openSuspect();
		this.harness.event(sent, 0);
		end(sent, BETWEEN_EVENTS);
		return sent;
	}

	private Sent openSuspect() {
		this.harness.shareDigest(1, SAME);
		this.harness.openStream(1);
		return this.harness.sendLast();
	}

	private void end(Sent sent, AnswerEnd end) {
		this.harness.dispatcher.streamEnded(sent.call(), sent.attempt(), end, this.harness.now);
		this.harness.passTime(0);
	}

	private void answer(Sent sent, AnswerEnd end) {
		AnswerHead head = new AnswerHead(200, DispatchHarness.id(sent.call()), true, false, false, false,
				Optional.empty(), OptionalLong.empty(), BackpressureSignals.NONE);
		this.harness.dispatcher.answered(sent.call(), sent.attempt(), head, end, this.harness.now);
		this.harness.passTime(0);
	}

}
