package dev.laneworks.core.dispatch;

import java.time.Duration;
import java.util.List;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.poison.PromptPartDigests;
import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a request which crashes targets is quarantined. Guards against a caller that
 * retries such a request at other entries, which crashes one engine after another and
 * cuts all streams that they run.
 */
class PoisonedRequestTests {

	private static final RequestDigest SAME = new RequestDigest(7, 7, 7);

	/** Time from sending a request to the crash of its engine. */
	private static final long CRASH_DELAY_MILLIS = 350;

	private final DispatchHarness harness = DispatchHarness.create();

	private int processedAttempts;

	@Test
	void generationThatCrashedThreeEnginesIsNotSentAgain() {
		List.of("a", "b", "c", "d", "e", "f").forEach((id) -> this.harness.join(DispatchHarness.ENGINES, id));
		int calls = 0;
		while (calls < 8) {
			calls++;
			this.harness.shareDigest(calls, SAME);
			this.harness.openStream(calls);
			crashTargetsOfAllAttempts();
		}
		assertThat(this.processedAttempts).isEqualTo(3);
		assertThat(this.harness.sent).hasSize(3);
		assertThat(this.harness.refusals.get(8L).verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.harness.refusals.get(8L).reason()).isEqualTo(RefusalReason.QUARANTINED);
		assertThat(this.harness.refusals.get(8L).retryAfter().get()).isGreaterThan(Duration.ofMinutes(1));
	}

	@Test
	void repeatableRequestThatCrashedThreeTargetsIsNotRetried() {
		List.of("a", "b", "c", "d", "e").forEach((id) -> this.harness.join(DispatchHarness.PLAIN, id));
		for (int call = 1; call <= 3; call++) {
			this.harness.shareDigest(call, SAME);
			this.harness.open(call, RequestKind.SAFE, 4);
			crashTargetsOfAllAttempts();
		}
		assertThat(this.processedAttempts).isEqualTo(3);
	}

	@Test
	void callsInProgressEndWhenTheirRequestIsQuarantined() {
		List.of("a", "b", "c", "d").forEach((id) -> this.harness.join(DispatchHarness.ENGINES, id));
		this.harness.shareDigest(1, SAME);
		this.harness.openStream(1);
		DispatchHarness.Sent reading = this.harness.sendLast();
		this.harness.shareDigest(2, SAME);
		this.harness.openStream(2);
		quarantine();
		assertThat(this.harness.abandoned).containsAtLeast("1/1", "2/1");
		assertThat(this.harness.answers(1)).containsExactly("refused 502");
		assertThat(this.harness.answers(2)).containsExactly("refused 503");
		assertThat(this.harness.event(reading, 0)).isFalse();
	}

	@Test
	void startedGenerationContinuesButIsNotResumedAtACopy() {
		List.of("a", "b", "c").forEach((id) -> this.harness.join(DispatchHarness.ENGINES, id));
		this.harness.shareDigest(1, SAME);
		this.harness.openStream(1);
		DispatchHarness.Sent first = this.harness.sendLast();
		this.harness.event(first, 0);
		quarantine();
		assertThat(this.harness.event(first, 1)).isTrue();
		this.harness.breakConnection(first);
		assertThat(this.harness.sent).hasSize(1);
		assertThat(this.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void quarantinedRequestIsNotWrittenToNewConnection() {
		List.of("a", "b").forEach((id) -> this.harness.join(DispatchHarness.PLAIN, id));
		this.harness.shareDigest(1, SAME);
		this.harness.open(1, RequestKind.UNSAFE, 1);
		quarantine();
		assertThat(this.harness.assertReady(this.harness.sent.get(0))).isFalse();
		assertThat(this.harness.refusals.get(1L).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void connectionResetAloneIsNoCrash() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		DispatchHarness.Sent sent = sendOne();
		this.harness.breakConnection(sent);
		this.harness.passTime(300);
		assertThat(this.harness.checked).hasSize(3);
		this.harness.probed(sent.target(), false);
		this.harness.remove(sent.target());
		assertThat(this.harness.suspected).isEmpty();
	}

	@Test
	void refusedConnectionAfterABrokenOneIsACrash() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		DispatchHarness.Sent sent = sendOne();
		this.harness.breakConnection(sent);
		assertThat(this.harness.checked).containsExactly(sent.target());
		// A process that crashes may close its connections before its port.
		this.harness.probed(sent.target(), false);
		this.harness.passTime(50);
		assertThat(this.harness.checked).hasSize(2);
		assertThat(this.harness.suspected).isEmpty();
		this.harness.probed(sent.target(), true);
		assertThat(this.harness.suspected).containsExactly(SAME);
	}

	// The refused connection is evidence of the third crash, so the quarantine ends the
	// call while its own failure is being handled. Guards against releasing its work
	// twice.
	@Test
	void callWhoseRefusedConnectionCausesTheQuarantineEndsOnce() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "a");
		DispatchHarness.Sent sent = sendOne();
		this.harness.shareDigest(2, SAME);
		this.harness.open(2, RequestKind.UNSAFE, 1);
		for (String id : List.of("x", "y")) {
			this.harness.suspects.recordCrash(SAME, TargetIncarnation.of(id), this.harness.now, this.harness.now);
		}
		this.harness.breakConnection(sent);
		this.harness.dispatcher.connectFailed(2, 1, ConnectFault.REFUSED, "refused", this.harness.now);
		assertThat(this.harness.answers(2)).containsExactly("refused 503");
		assertThat(this.harness.estimates.of(target).inFlight()).isEqualTo(0);
	}

	@Test
	void crashLongAfterABrokenConnectionIsUnrelated() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		DispatchHarness.Sent sent = sendOne();
		this.harness.breakConnection(sent);
		this.harness.passTime(5_000);
		this.harness.remove(sent.target());
		assertThat(this.harness.suspected).isEmpty();
	}

	@Test
	void requestAtDrainingTargetIsNotSuspected() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "a");
		DispatchHarness.Sent sent = sendOne();
		this.harness.drain(target);
		this.harness.breakConnection(sent);
		this.harness.probed(target, true);
		this.harness.remove(target);
		assertThat(this.harness.suspected).isEmpty();
	}

	@Test
	void restartedTargetCrashedWhileExecutingItsRequests() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "a");
		sendOne();
		this.harness.restart(target);
		assertThat(this.harness.suspected).containsExactly(SAME);
	}

	@Test
	void targetRestartedAfterItsNoticeDidNotCrash() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "a");
		sendOne();
		this.harness.drain(target);
		this.harness.restart(target);
		assertThat(this.harness.suspected).isEmpty();
	}

	@Test
	void generationThatSentEventsForTwoSecondsIsCleared() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.shareDigest(1, SAME);
		this.harness.openStream(1);
		DispatchHarness.Sent sent = this.harness.sendLast();
		this.harness.suspects.recordCrash(SAME, TargetIncarnation.of("x"), this.harness.now, this.harness.now);
		this.harness.event(sent, 0);
		this.harness.passTime(1_999);
		this.harness.event(sent, 1);
		assertThat(this.harness.cleared).isEmpty();
		this.harness.passTime(1);
		this.harness.event(sent, 2);
		assertThat(this.harness.cleared).containsExactly(SAME);
		this.harness.suspected.clear();
		this.harness.breakConnection(sent);
		this.harness.remove(sent.target());
		assertThat(this.harness.suspected).isEmpty();
	}

	@Test
	void generationThatBrokeEarlierIsSuspected() {
		this.harness.join(DispatchHarness.ENGINES, "a");
		this.harness.shareDigest(1, SAME);
		this.harness.openStream(1);
		DispatchHarness.Sent sent = this.harness.sendLast();
		this.harness.event(sent, 0);
		this.harness.passTime(70);
		this.harness.breakConnection(sent);
		this.harness.remove(sent.target());
		assertThat(this.harness.suspected).containsExactly(SAME);
	}

	@Test
	void completeResponseClearsItsRequestAndFailureDoesNot() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		DispatchHarness.Sent sent = sendOne();
		this.harness.suspects.recordCrash(SAME, TargetIncarnation.of("x"), this.harness.now, this.harness.now);
		this.harness.answer(sent, 500, false);
		assertThat(this.harness.cleared).isEmpty();
		this.harness.shareDigest(2, SAME);
		this.harness.open(2, RequestKind.UNSAFE, 1);
		this.harness.answer(this.harness.sendLast(), 200, false);
		assertThat(this.harness.cleared).containsExactly(SAME);
	}

	// Guards against a generation that clears the parts of its prompt where it resumes,
	// since it does not read them there.
	@Test
	void resumedGenerationIsNoSuccessOnItsPromptParts() {
		List.of("a", "b").forEach((id) -> this.harness.join(DispatchHarness.ENGINES, id));
		this.harness.openStream(1, List.of("part", "own"));
		DispatchHarness.Sent first = this.harness.sendLast();
		this.harness.event(first, 0);
		this.harness.passTime(2_000);
		crashWithPart("x");
		this.harness.breakConnection(first);
		DispatchHarness.Sent second = this.harness.sendLast();
		this.harness.passTime(100);
		this.harness.event(second, 1);
		this.harness.dispatcher.streamEnded(1, second.attempt(), AnswerEnd.MARKED, this.harness.now);
		for (String target : List.of("y", "z", "u", "v", "w")) {
			this.harness.passTime(100);
			crashWithPart(target);
		}
		assertThat(this.harness.suspectParts.quarantined()).isEqualTo(1);
	}

	private void crashWithPart(String target) {
		PromptPartDigests prompt = PromptPartDigests.of("acme", DispatchHarness.ENGINES, List.of("part", "own"));
		this.harness.suspectParts.recordCrash(TargetIncarnation.of(target), this.harness.now, List.of(prompt),
				this.harness.now);
	}

	@Test
	void disabledMechanismQuarantinesNothing() {
		DispatchHarness withoutQuarantine = DispatchHarness.without(Mechanism.REQUEST_QUARANTINE);
		withoutQuarantine.join(DispatchHarness.PLAIN, "a");
		for (String id : List.of("x", "y", "z")) {
			withoutQuarantine.suspects.recordCrash(SAME, TargetIncarnation.of(id), 0, 0);
		}
		withoutQuarantine.shareDigest(1, SAME);
		withoutQuarantine.open(1, RequestKind.UNSAFE, 1);
		assertThat(withoutQuarantine.sent).hasSize(1);
	}

	// Records crashes as if another entry had announced them.
	private void quarantine() {
		for (String id : List.of("x", "y", "z")) {
			this.harness.suspects.recordCrash(SAME, TargetIncarnation.of(id), this.harness.now, this.harness.now);
		}
	}

	private DispatchHarness.Sent sendOne() {
		this.harness.shareDigest(1, SAME);
		this.harness.open(1, RequestKind.UNSAFE, 1);
		return this.harness.sendLast();
	}

	// Crashes the target of each attempt, including those that resume at a copy.
	private void crashTargetsOfAllAttempts() {
		while (this.processedAttempts < this.harness.sent.size()) {
			DispatchHarness.Sent attempt = this.harness.sent.get(this.processedAttempts);
			this.processedAttempts++;
			if (this.harness.assertReady(attempt)) {
				this.harness.passTime(CRASH_DELAY_MILLIS);
				this.harness.breakConnection(attempt);
				this.harness.remove(attempt.target());
			}
		}
	}

}
