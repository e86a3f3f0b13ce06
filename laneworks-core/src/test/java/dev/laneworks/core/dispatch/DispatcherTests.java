package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.backpressure.BackpressureSignals;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Dispatcher} with requests to plain services.
 */
class DispatcherTests {

	private final DispatchHarness harness = DispatchHarness.create();

	@Test
	void triesConnectionsToManyTargets() {
		for (int i = 0; i < 12; i++) {
			this.harness.join(DispatchHarness.PLAIN, "t" + i);
		}
		this.harness.open(1, RequestKind.UNSAFE, 1);
		for (int i = 0; i < 11; i++) {
			Sent sent = this.harness.sent.get(i);
			this.harness.dispatcher.connectFailed(1, sent.attempt(), ConnectFault.REFUSED, "refused", this.harness.now);
		}
		assertThat(this.harness.sent).hasSize(12);
		assertThat(this.harness.answers(1)).isEmpty();
		this.harness.dispatcher.connectFailed(1, this.harness.sent.get(11).attempt(), ConnectFault.REFUSED, "refused",
				this.harness.now);
		assertThat(this.harness.answers(1)).containsExactly("refused 503");
	}

	@Test
	void deliversCompleteAnswer() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.answer(this.harness.sendLast(), 200, false);
		assertThat(this.harness.answers(1)).containsExactly("delivered 1");
		assertThat(this.harness.dispatcher.openCalls()).isEqualTo(0);
	}

	@Test
	void refusesAsNotRunWithoutTarget() {
		this.harness.open(1, RequestKind.UNSAFE, 1);
		assertThat(this.harness.answers(1)).containsExactly("refused 503");
		assertThat(this.harness.refusals.get(1L).verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.harness.refusals.get(1L).retryAfter().isPresent()).isTrue();
	}

	@Test
	void doesNotRetryUnsafeRequestThatMayHaveRun() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.breakConnection(this.harness.sendLast());
		assertThat(this.harness.sent).hasSize(1);
		assertThat(this.harness.answers(1)).containsExactly("refused 502");
		assertThat(this.harness.refusals.get(1L).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void sendsRequestThatDidNotRunToAnotherTarget() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		Sent first = this.harness.sendLast();
		this.harness.answer(first, 503, true);
		Sent second = this.harness.sendLast();
		assertThat(second.target().id()).isNotEqualTo(first.target().id());
		this.harness.answer(second, 503, true);
		assertThat(this.harness.answers(1)).containsExactly("refused 503");
		assertThat(this.harness.refusals.get(1L).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void retriesRepeatableRequestUpToMaxAttempts() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.join(DispatchHarness.PLAIN, "c");
		this.harness.open(1, RequestKind.SAFE, 2);
		this.harness.answer(this.harness.sendLast(), 500, false);
		this.harness.answer(this.harness.sendLast(), 500, false);
		assertThat(this.harness.sent).hasSize(2);
		assertThat(this.harness.answers(1)).containsExactly("delivered 2");
	}

	@Test
	void refusalAfterExecutionDoesNotPromiseNotRun() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.open(1, RequestKind.SAFE, 2);
		this.harness.answer(this.harness.sendLast(), 500, false);
		this.harness.answer(this.harness.sendLast(), 503, true);
		assertThat(this.harness.answers(1)).containsExactly("refused 502");
	}

	@Test
	void failedConnectionDoesNotUseRetryBudget() {
		DispatchHarness limited = new DispatchHarness(0, 0, 1);
		limited.join(DispatchHarness.PLAIN, "a");
		limited.join(DispatchHarness.PLAIN, "b");
		limited.open(1, RequestKind.UNSAFE, 1);
		Sent first = limited.sent.get(0);
		limited.dispatcher.connectFailed(first.call(), first.attempt(), ConnectFault.REFUSED, "refused", 0);
		limited.answer(limited.sendLast(), 200, false);
		assertThat(limited.answers(1)).containsExactly("delivered 2");
	}

	@Test
	void abandonsConnectionAfterTimeout() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.answer(this.harness.sendLast(), 200, false);
		this.harness.open(2, RequestKind.UNSAFE, 1);
		this.harness.passTime(300);
		assertThat(this.harness.abandoned).contains("2/1");
		assertThat(this.harness.sent).hasSize(3);
	}

	@Test
	void toleratesSlowFirstConnection() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.passTime(700);
		assertThat(this.harness.sent).hasSize(1);
		this.harness.answer(this.harness.sendLast(), 200, false);
		assertThat(this.harness.answers(1)).containsExactly("delivered 1");
	}

	@Test
	void abandonsFirstConnectionAfterOneSecond() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.passTime(1_050);
		assertThat(this.harness.abandoned).contains("1/1");
		assertThat(this.harness.sent).hasSize(2);
	}

	@Test
	void retryBudgetLimitsRetries() {
		DispatchHarness limited = new DispatchHarness(0, 1, 1);
		limited.join(DispatchHarness.PLAIN, "a");
		limited.join(DispatchHarness.PLAIN, "b");
		limited.open(1, RequestKind.SAFE, 2);
		limited.answer(limited.sendLast(), 500, false);
		limited.answer(limited.sendLast(), 200, false);
		limited.open(2, RequestKind.SAFE, 2);
		limited.answer(limited.sendLast(), 500, false);
		assertThat(limited.answers(2)).containsExactly("delivered 1");
		assertThat(limited.sent).hasSize(3);
	}

	@Test
	void doesNotDeliverAnswerToAnotherRequest() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		Sent sent = this.harness.sendLast();
		AnswerHead other = new AnswerHead(200, "request-77", true, false, false, false, Optional.empty(),
				OptionalLong.empty(), BackpressureSignals.NONE);
		this.harness.dispatcher.answered(sent.call(), sent.attempt(), other, AnswerEnd.MARKED, 10);
		assertThat(this.harness.answers(1)).containsExactly("refused 502");
	}

	@Test
	void successWithoutDigestOrWithEncodingIsInvalid() {
		AnswerHead unsealed = new AnswerHead(200, "r", false, false, false, false, Optional.empty(),
				OptionalLong.empty(), BackpressureSignals.NONE);
		AnswerHead encoded = new AnswerHead(200, "r", true, true, false, false, Optional.empty(), OptionalLong.empty(),
				BackpressureSignals.NONE);
		AnswerHead valid = new AnswerHead(200, "r", true, false, false, false, Optional.empty(), OptionalLong.empty(),
				BackpressureSignals.NONE);
		assertThat(unsealed.isValidAnswerTo("r")).isFalse();
		assertThat(encoded.isValidAnswerTo("r")).isFalse();
		assertThat(valid.isValidAnswerTo("r")).isTrue();
	}

	@Test
	void refusesRequestAtRouteTimeout() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.sendLast();
		this.harness.passTime(1_600);
		assertThat(this.harness.answers(1)).containsExactly("refused 504");
		assertThat(this.harness.abandoned).contains("1/1");
	}

	@Test
	void passesRemainingTimeToTarget() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.now += 200;
		Sent sent = this.harness.sent.get(0);
		assertThat(this.harness.dispatcher.readyToSend(sent.call(), sent.attempt(), this.harness.now).getAsLong())
			.isEqualTo(1_300);
	}

	@Test
	void sendsNothingOverdueAfterProcessPause() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.now += 5_000;
		assertThat(this.harness.assertReady(this.harness.sent.get(0))).isFalse();
		assertThat(this.harness.refusals.get(1L).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void sendsNothingToTargetThatDrainsDuringConnect() {
		ListedTarget a = this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.drain(a);
		assertThat(this.harness.assertReady(this.harness.sent.get(0))).isFalse();
		assertThat(this.harness.sendLast().target().id()).isEqualTo("b");
	}

	// Guards against a request that waited while its process was late and is sent to a
	// target which left meanwhile.
	@Test
	void requestWaitsForTheStoreBeforeItIsSentByALateProcess() {
		ListedTarget leaving = this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.awaitsContact = true;
		assertThat(this.harness.assertReady(this.harness.sent.get(0))).isFalse();
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.drain(leaving);
		this.harness.passTime(100);
		assertThat(this.harness.sent).hasSize(1);
		this.harness.awaitsContact = false;
		this.harness.passTime(10);
		assertThat(this.harness.sendLast().target().id()).isEqualTo("b");
	}

	@Test
	void postponedRequestIsNotSentOnceItsCallerHasLeft() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.awaitsContact = true;
		this.harness.assertReady(this.harness.sent.get(0));
		this.harness.dispatcher.callerDisconnected(1, this.harness.now);
		this.harness.awaitsContact = false;
		this.harness.passTime(50);
		assertThat(this.harness.sent).hasSize(1);
	}

	@Test
	void sendsNothingMoreToMisdirectedTarget() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		Sent first = this.harness.sendLast();
		this.harness.answer(first, 421, false);
		assertThat(this.harness.directory.acceptsRequests(first.target().id())).isFalse();
		this.harness.answer(this.harness.sendLast(), 200, false);
		assertThat(this.harness.answers(1)).containsExactly("delivered 2");
	}

	@Test
	void retriesUnansweredRequestOnlyIfRepeatable() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.open(1, RequestKind.SAFE, 2);
		this.harness.sendLast();
		this.harness.open(2, RequestKind.UNSAFE, 1);
		this.harness.sendLast();
		this.harness.passTime(800);
		assertThat(this.harness.sent.stream().map(Sent::call).toList()).isEqualTo(List.of(1L, 2L, 1L));
	}

	@Test
	void disconnectionOfCallerFreesTarget() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.sendLast();
		this.harness.dispatcher.callerDisconnected(1, 10);
		assertThat(this.harness.abandoned).containsExactly("1/1");
		assertThat(this.harness.answers(1)).isEmpty();
		assertThat(this.harness.dispatcher.openCalls()).isEqualTo(0);
	}

}
