package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.backpressure.TargetNeeds;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Dispatcher}: plain requests.
 */
class DispatcherTests {

	private final DispatchHarness world = DispatchHarness.create();

	@Test
	void connectionsAreTriedToManyTargetsWhereTheListIsOld() {
		for (int i = 0; i < 12; i++) {
			this.world.join(DispatchHarness.PLAIN, "t" + i);
		}
		this.world.open(1, RequestKind.UNSAFE, 1);
		for (int i = 0; i < 11; i++) {
			Sent sent = this.world.sent.get(i);
			this.world.dispatcher.connectFailed(1, sent.attempt(), ConnectFault.REFUSED, "refused", this.world.now);
		}
		assertThat(this.world.sent).hasSize(12);
		assertThat(this.world.answers(1)).isEmpty();
		this.world.dispatcher.connectFailed(1, this.world.sent.get(11).attempt(), ConnectFault.REFUSED, "refused",
				this.world.now);
		assertThat(this.world.answers(1)).containsExactly("refused 503");
	}

	@Test
	void deliversAWholeAnswer() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.open(1, RequestKind.UNSAFE, 1);
		this.world.answer(this.world.arrive(), 200, false);
		assertThat(this.world.answers(1)).containsExactly("delivered 1");
		assertThat(this.world.dispatcher.openCalls()).isEqualTo(0);
	}

	@Test
	void refusesAsNotRunWhereThereIsNoTarget() {
		this.world.open(1, RequestKind.UNSAFE, 1);
		assertThat(this.world.answers(1)).containsExactly("refused 503");
		assertThat(this.world.refusals.get(1L).verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.world.refusals.get(1L).retryAfter().isPresent()).isTrue();
	}

	@Test
	void whatMayHaveRunIsNotSentAgainAndNotCalledNotRun() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.open(1, RequestKind.UNSAFE, 1);
		this.world.breakOff(this.world.arrive());
		assertThat(this.world.sent).hasSize(1);
		assertThat(this.world.answers(1)).containsExactly("refused 502");
		assertThat(this.world.refusals.get(1L).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void whatDidNotRunIsSentToAnotherTarget() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.open(1, RequestKind.UNSAFE, 1);
		Sent first = this.world.arrive();
		this.world.answer(first, 503, true);
		Sent second = this.world.arrive();
		assertThat(second.target().id()).isNotEqualTo(first.target().id());
		this.world.answer(second, 503, true);
		assertThat(this.world.answers(1)).containsExactly("refused 503");
		assertThat(this.world.refusals.get(1L).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void aRepeatableRequestIsTriedAgainAfterAFailureWithinItsAttempts() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.join(DispatchHarness.PLAIN, "c");
		this.world.open(1, RequestKind.SAFE, 2);
		this.world.answer(this.world.arrive(), 500, false);
		this.world.answer(this.world.arrive(), 500, false);
		assertThat(this.world.sent).hasSize(2);
		assertThat(this.world.answers(1)).containsExactly("delivered 2");
	}

	@Test
	void aRefusalAfterARepeatableRequestRanDoesNotPromiseNotRun() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.open(1, RequestKind.SAFE, 2);
		this.world.answer(this.world.arrive(), 500, false);
		this.world.answer(this.world.arrive(), 503, true);
		assertThat(this.world.answers(1)).containsExactly("refused 502");
	}

	@Test
	void nothingSentMeansAnotherTargetAtNoCost() {
		DispatchHarness poor = new DispatchHarness(0, 0, 1);
		poor.join(DispatchHarness.PLAIN, "a");
		poor.join(DispatchHarness.PLAIN, "b");
		poor.open(1, RequestKind.UNSAFE, 1);
		Sent first = poor.sent.get(0);
		poor.dispatcher.connectFailed(first.call(), first.attempt(), ConnectFault.REFUSED, "refused", 0);
		poor.answer(poor.arrive(), 200, false);
		assertThat(poor.answers(1)).containsExactly("delivered 2");
	}

	@Test
	void aConnectionThatDoesNotComeUpIsGivenUp() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.open(1, RequestKind.UNSAFE, 1);
		this.world.answer(this.world.arrive(), 200, false);
		this.world.open(2, RequestKind.UNSAFE, 1);
		this.world.passTime(300);
		assertThat(this.world.abandoned).contains("2/1");
		assertThat(this.world.sent).hasSize(3);
	}

	@Test
	void aProcessThatHasJustStartedDoesNotGiveTargetsUpForItsOwnDelay() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.open(1, RequestKind.UNSAFE, 1);
		this.world.passTime(700);
		assertThat(this.world.sent).hasSize(1);
		this.world.answer(this.world.arrive(), 200, false);
		assertThat(this.world.answers(1)).containsExactly("delivered 1");
	}

	@Test
	void theFirstConnectionOfAProcessIsGivenUpAfterASecond() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.open(1, RequestKind.UNSAFE, 1);
		this.world.passTime(1_050);
		assertThat(this.world.abandoned).contains("1/1");
		assertThat(this.world.sent).hasSize(2);
	}

	@Test
	void theBudgetBoundsWhatIsSentAgain() {
		DispatchHarness poor = new DispatchHarness(0, 1, 1);
		poor.join(DispatchHarness.PLAIN, "a");
		poor.join(DispatchHarness.PLAIN, "b");
		poor.open(1, RequestKind.SAFE, 2);
		poor.answer(poor.arrive(), 500, false);
		poor.answer(poor.arrive(), 200, false);
		poor.open(2, RequestKind.SAFE, 2);
		poor.answer(poor.arrive(), 500, false);
		assertThat(poor.answers(2)).containsExactly("delivered 1");
		assertThat(poor.sent).hasSize(3);
	}

	@Test
	void anAnswerToAnotherRequestIsNotDelivered() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.open(1, RequestKind.UNSAFE, 1);
		Sent sent = this.world.arrive();
		AnswerHead other = new AnswerHead(200, "request-77", true, false, false, false, Optional.empty(),
				OptionalLong.empty(), TargetNeeds.NONE);
		this.world.dispatcher.answered(sent.call(), sent.attempt(), other, 10);
		assertThat(this.world.answers(1)).containsExactly("refused 502");
	}

	@Test
	void aSuccessWithoutItsDigestOrWithAnEncodingIsNotDelivered() {
		AnswerHead bare = new AnswerHead(200, "r", false, false, false, false, Optional.empty(), OptionalLong.empty(),
				TargetNeeds.NONE);
		AnswerHead encoded = new AnswerHead(200, "r", true, true, false, false, Optional.empty(), OptionalLong.empty(),
				TargetNeeds.NONE);
		AnswerHead good = new AnswerHead(200, "r", true, false, false, false, Optional.empty(), OptionalLong.empty(),
				TargetNeeds.NONE);
		assertThat(bare.answers("r")).isFalse();
		assertThat(encoded.answers("r")).isFalse();
		assertThat(good.answers("r")).isTrue();
	}

	@Test
	void everyRequestIsAnsweredByItsRoutesTime() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.open(1, RequestKind.UNSAFE, 1);
		this.world.arrive();
		this.world.passTime(1_600);
		assertThat(this.world.answers(1)).containsExactly("refused 504");
		assertThat(this.world.abandoned).contains("1/1");
	}

	@Test
	void aTargetIsGivenOnlyTheTimeThatIsLeftWhenTheRequestGoesOut() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.open(1, RequestKind.UNSAFE, 1);
		this.world.now += 200;
		Sent sent = this.world.sent.get(0);
		assertThat(this.world.dispatcher.readyToSend(sent.call(), sent.attempt(), this.world.now).getAsLong())
			.isEqualTo(1_300);
	}

	@Test
	void aProcessThatWakesLateSendsNothingThatIsOverdue() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.open(1, RequestKind.UNSAFE, 1);
		this.world.now += 5_000;
		assertThat(this.world.assertReady(this.world.sent.get(0))).isFalse();
		assertThat(this.world.refusals.get(1L).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void nothingNewGoesToATargetThatLeftWhileTheConnectionCameUp() {
		ListedTarget a = this.world.join(DispatchHarness.PLAIN, "a");
		this.world.open(1, RequestKind.UNSAFE, 1);
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.leave(a);
		assertThat(this.world.assertReady(this.world.sent.get(0))).isFalse();
		assertThat(this.world.arrive().target().id()).isEqualTo("b");
	}

	@Test
	void aTargetThatIsAnotherOneIsLeftAlone() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.open(1, RequestKind.UNSAFE, 1);
		Sent first = this.world.arrive();
		this.world.answer(first, 421, false);
		assertThat(this.world.directory.takesWork(first.target().id())).isFalse();
		this.world.answer(this.world.arrive(), 200, false);
		assertThat(this.world.answers(1)).containsExactly("delivered 2");
	}

	@Test
	void aSilentTargetIsGivenUpOnlyForWhatMayRunTwice() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.join(DispatchHarness.PLAIN, "b");
		this.world.open(1, RequestKind.SAFE, 2);
		this.world.arrive();
		this.world.open(2, RequestKind.UNSAFE, 1);
		this.world.arrive();
		this.world.passTime(800);
		assertThat(this.world.sent.stream().map(Sent::call).toList()).isEqualTo(List.of(1L, 2L, 1L));
	}

	@Test
	void aCallerThatLeftFreesItsTargetAndGetsNothing() {
		this.world.join(DispatchHarness.PLAIN, "a");
		this.world.open(1, RequestKind.UNSAFE, 1);
		this.world.arrive();
		this.world.dispatcher.callerLeft(1, 10);
		assertThat(this.world.abandoned).containsExactly("1/1");
		assertThat(this.world.answers(1)).isEmpty();
		assertThat(this.world.dispatcher.openCalls()).isEqualTo(0);
	}

}
