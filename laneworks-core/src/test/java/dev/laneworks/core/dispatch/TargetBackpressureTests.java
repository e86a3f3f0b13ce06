package dev.laneworks.core.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import dev.laneworks.core.backpressure.BackpressureSignals;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.gossip.BackpressureUpdate;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of how a {@link Dispatcher} obeys back-pressure signals in the responses of
 * targets.
 */
class TargetBackpressureTests {

	private static final BackpressureSignals DRAINING_SIGNAL = new BackpressureSignals(OptionalDouble.empty(),
			OptionalLong.empty(), true);

	private final DispatchHarness harness = DispatchHarness.create();

	private long calls;

	@Test
	void requestsBeyondRateLimitGoElsewhereOrAreRefusedWithRetryTime() {
		ListedTarget limited = this.harness.join(DispatchHarness.PLAIN, "limited");
		respondWith(rateLimit(2));
		this.harness.open(++this.calls, RequestKind.UNSAFE, 1);
		assertThat(this.harness.refusals.get(this.calls).verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.harness.refusals.get(this.calls).retryAfter()).hasValue(Duration.ofMillis(527));
		this.harness.join(DispatchHarness.PLAIN, "other");
		for (int i = 0; i < 10; i++) {
			assertThat(sendAndRespond(BackpressureSignals.NONE, false).target().id()).isEqualTo("other");
		}
		this.harness.passTime(527);
		assertThat(this.harness.eligibility.acceptsWork(limited, this.harness.now)).isTrue();
	}

	@Test
	void retryIsNotSentToTargetAtItsRateLimit() {
		ListedTarget limited = this.harness.join(DispatchHarness.PLAIN, "limited");
		respondWith(rateLimit(1));
		ListedTarget bad = this.harness.join(DispatchHarness.PLAIN, "bad");
		this.harness.open(++this.calls, RequestKind.SAFE, 2);
		Sent first = this.harness.sendLast();
		assertThat(first.target()).isEqualTo(bad);
		this.harness.answer(first, 500, false);
		assertThat(this.harness.sent.stream().filter((s) -> s.target().equals(limited))).hasSize(1);
		assertThat(this.harness.answers(this.calls)).containsExactly("delivered 1");
	}

	@Test
	void generationDoesNotResumeAtEngineAtItsRateLimit() {
		Sent run = streamWithLiveCopy();
		ListedTarget backup = liveCopyOf(run);
		this.harness.backpressure.recordResponse(backup, rateLimit(0.2), 0, 0);
		this.harness.drain(run.target());
		assertThat(this.harness.sent.stream().filter((s) -> s.target().equals(backup))).isEmpty();
	}

	@Test
	void signalsOfMismatchedOrFormerResponsesAreIgnored() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		this.harness.join(DispatchHarness.PLAIN, "other");
		while (this.harness.sent.stream().noneMatch((s) -> s.target().equals(target))) {
			this.harness.open(++this.calls, RequestKind.SAFE, 2);
			this.harness.sendLast();
		}
		Sent sent = this.harness.sent.get(this.harness.sent.size() - 1);
		receiveHead(sent, 421, "");
		receiveHead(sent, 200, "request-999");
		assertThat(this.harness.backpressure.limitCount()).isEqualTo(0);
		this.harness.remove(target);
		receiveHead(sent, 200, DispatchHarness.id(sent.call()));
		assertThat(this.harness.backpressure.limitCount()).isEqualTo(0);
	}

	@Test
	void invalidRateLimitIsRecordedOnceAndIgnored() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		respondWith(rateLimit(1));
		for (double invalid : new double[] { -1, Double.NaN, 1e9 }) {
			this.harness.backpressure.recordResponse(target, rateLimit(invalid), this.harness.now, this.harness.now);
		}
		assertThat(this.harness.backpressure.limitCount()).isEqualTo(1);
		assertThat(this.harness.audit.stream().filter((e) -> e.cause().contains("passed over"))).hasSize(1);
	}

	@Test
	void restartedTargetHasNoSignals() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		respondWith(rateLimit(0));
		ListedTarget again = this.harness.restart(target);
		assertThat(this.harness.eligibility.acceptsWork(again, this.harness.now)).isTrue();
		assertThat(this.harness.backpressure.limitCount()).isEqualTo(0);
	}

	@Test
	void targetThatAnnouncedDrainingReceivesNoNewWorkRegardlessOfTheList() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		respondWith(DRAINING_SIGNAL);
		assertThat(this.harness.announcedSignals).containsExactly(target.incarnation());
		assertRefusedAtOnce();
		this.harness.directory.put(target);
		assertRefusedAtOnce();
		this.harness.remove(target);
		this.harness.directory.put(target);
		assertRefusedAtOnce();
		assertThat(this.harness.eligibility.acceptsWork(this.harness.restart(target), this.harness.now)).isTrue();
	}

	@Test
	void requestNotYetWrittenToDrainingTargetGoesElsewhere() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		this.harness.open(++this.calls, RequestKind.UNSAFE, 1);
		Sent chosen = this.harness.sent.get(0);
		this.harness.join(DispatchHarness.PLAIN, "other");
		this.harness.backpressure.recordResponse(target, DRAINING_SIGNAL, 0, 0);
		assertThat(this.harness.assertReady(chosen)).isFalse();
		assertThat(this.harness.sendLast().target().id()).isEqualTo("other");
	}

	@Test
	void generationStaysAtDrainingEngineUntilListedAndResumesAtNoDrainingOne() {
		Sent run = streamWithLiveCopy();
		ListedTarget backup = liveCopyOf(run);
		this.harness.backpressure.recordResponse(run.target(), DRAINING_SIGNAL, 0, 0);
		this.harness.passTime(1_000);
		assertThat(this.harness.sent).hasSize(1);
		this.harness.backpressure.recordResponse(backup, DRAINING_SIGNAL, 0, 0);
		this.harness.drain(run.target());
		assertThat(this.harness.sent).hasSize(1);
	}

	@Test
	void signalsOfOtherEntriesAreAppliedButNotForwarded() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		BackpressureUpdate signals = new BackpressureUpdate(List.of(), List.of(target.incarnation()));
		this.harness.backpressure.recordGossiped(signals, (t) -> true, 0);
		this.harness.open(++this.calls, RequestKind.UNSAFE, 1);
		assertThat(this.harness.answers(this.calls)).containsExactly("refused 503");
		assertThat(this.harness.backpressure.signals(1)).isEqualTo(BackpressureUpdate.NONE);
	}

	@Test
	void newSignalsAreAnnouncedImmediately() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		this.harness.backpressure.recordResponse(target, rateLimit(3), 0, 0);
		this.harness.backpressure.recordResponse(target, rateLimit(3), 1, 1);
		this.harness.backpressure.recordResponse(target, rateLimit(4), 2, 2);
		this.harness.backpressure.recordResponse(target, DRAINING_SIGNAL, 3, 3);
		this.harness.backpressure.recordResponse(target, DRAINING_SIGNAL, 4, 4);
		assertThat(this.harness.announcedSignals).hasSize(4);
		assertThat(this.harness.backpressure.signals(60_004).draining()).containsExactly(target.incarnation());
		assertThat(this.harness.backpressure.signals(60_005).draining()).isEmpty();
	}

	@Test
	void requestAtTargetThatAnnouncedDrainingIsNotSuspected() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		this.harness.open(++this.calls, RequestKind.UNSAFE, 1);
		Sent sent = this.harness.sendLast();
		this.harness.backpressure.recordResponse(target, DRAINING_SIGNAL, 0, 0);
		this.harness.breakConnection(sent);
		this.harness.probed(target, true);
		assertThat(this.harness.suspected).isEmpty();
	}

	@Test
	void targetInBackoffReceivesNoRequestsAndCallersReceiveRetryTime() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		sendAndRespond(backoff(3_000), true);
		assertThat(this.harness.refusals.get(1L).retryAfter()).hasValue(Duration.ofMillis(3_000));
		this.harness.passTime(1_000);
		assertRefusedAtOnce();
		assertThat(this.harness.refusals.get(this.calls).retryAfter()).hasValue(Duration.ofMillis(2_000));
		assertThat(this.harness.sent).hasSize(1);
		this.harness.passTime(1_999);
		assertRefusedAtOnce();
		this.harness.passTime(1);
		this.harness.open(++this.calls, RequestKind.UNSAFE, 1);
		assertThat(this.harness.sendLast().target()).isEqualTo(target);
	}

	@Test
	void backoffPersistsWhenTargetIsBrieflyDelisted() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		sendAndRespond(backoff(3_000), true);
		this.harness.remove(target);
		this.harness.directory.put(target);
		assertRefusedAtOnce();
		assertThat(this.harness.sent).hasSize(1);
	}

	@Test
	void shorterBackoffDoesNotShortenAnEarlierOne() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		this.harness.backpressure.recordResponse(target, backoff(3_000), 0, 0);
		this.harness.backpressure.recordResponse(target, backoff(100), 0, 500);
		assertThat(this.harness.backpressure.waitMillis(target, 600)).isEqualTo(2_400);
		assertThat(this.harness.backpressure.backoffCount(2_999)).isEqualTo(1);
		assertThat(this.harness.backpressure.backoffCount(3_000)).isEqualTo(0);
	}

	@Test
	void requestNotYetWrittenToTargetInBackoffGoesElsewhere() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		this.harness.open(++this.calls, RequestKind.UNSAFE, 1);
		Sent chosen = this.harness.sent.get(0);
		this.harness.join(DispatchHarness.PLAIN, "other");
		this.harness.backpressure.recordResponse(target, backoff(3_000), 0, 0);
		assertThat(this.harness.assertReady(chosen)).isFalse();
		assertThat(this.harness.sendLast().target().id()).isEqualTo("other");
	}

	@Test
	void onlyOneGenerationReturnsToTargetWithinBackoff() {
		ListedTarget target = this.harness.join(DispatchHarness.ENGINES, "target");
		this.harness.backpressure.recordResponse(target, backoff(3_000), 0, 0);
		assertThat(this.harness.eligibility.allowsReturn(target, 0)).isTrue();
		this.harness.eligibility.recordSent(target, 0);
		assertThat(this.harness.eligibility.allowsReturn(target, 10)).isFalse();
		assertThat(this.harness.eligibility.allowsReturn(target, 3_000)).isTrue();
	}

	@Test
	void invalidBackoffIsIgnored() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "target");
		for (long invalid : new long[] { -1, 3_600_001, Long.MAX_VALUE }) {
			this.harness.backpressure.recordResponse(target, backoff(invalid), 0, 0);
		}
		assertThat(this.harness.backpressure.waitMillis(target, 0)).isEqualTo(0);
		assertThat(this.harness.audit.stream().filter((e) -> e.cause().contains("passed over"))).hasSize(1);
	}

	// A started generation with a live copy at the other engine.
	private Sent streamWithLiveCopy() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.join(DispatchHarness.ENGINES, "b");
		this.harness.openStream(++this.calls);
		Sent run = this.harness.sendLast();
		this.harness.event(run, 0);
		return run;
	}

	private ListedTarget liveCopyOf(Sent run) {
		String address = run.order().liveCopy().get();
		return this.harness.directory.all().stream().filter((t) -> t.address().equals(address)).findFirst().get();
	}

	private static BackpressureSignals backoff(long millis) {
		return new BackpressureSignals(OptionalDouble.empty(), OptionalLong.of(millis), false);
	}

	private void assertRefusedAtOnce() {
		this.harness.open(++this.calls, RequestKind.UNSAFE, 1);
		assertThat(this.harness.answers(this.calls)).containsExactly("refused 503");
		assertThat(this.harness.refusals.get(this.calls).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	private void receiveHead(Sent sent, int status, String request) {
		this.harness.dispatcher.headReceived(sent.call(), sent.attempt(), new AnswerHead(status, request, true, false,
				false, false, Optional.empty(), OptionalLong.empty(), rateLimit(1)), this.harness.now);
	}

	private static BackpressureSignals rateLimit(double perSecond) {
		return new BackpressureSignals(OptionalDouble.of(perSecond), OptionalLong.empty(), false);
	}

	// Sends one request, whose response carries the signals.
	private void respondWith(BackpressureSignals signals) {
		sendAndRespond(signals, false);
	}

	private Sent sendAndRespond(BackpressureSignals signals, boolean isRejected) {
		this.harness.open(++this.calls, RequestKind.UNSAFE, 1);
		Sent sent = this.harness.sendLast();
		this.harness.answer(sent, isRejected ? 503 : 200, isRejected, signals);
		return sent;
	}

}
