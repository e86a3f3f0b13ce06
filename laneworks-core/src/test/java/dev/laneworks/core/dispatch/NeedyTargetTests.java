package dev.laneworks.core.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import dev.laneworks.core.backpressure.TargetNeeds;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.gossip.NeedsNews;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of what a {@link Dispatcher} sends to targets that say in their answers what they
 * need.
 */
class NeedyTargetTests {

	private static final TargetNeeds LEAVING = new TargetNeeds(OptionalDouble.empty(), OptionalLong.empty(), true);

	private final DispatchHarness world = DispatchHarness.create();

	private long calls;

	@Test
	void whatALimitedTargetDoesNotTakeGoesElsewhereAndIsRefusedWithATrueTimeWhereThereIsNone() {
		ListedTarget limited = this.world.join(DispatchHarness.PLAIN, "limited");
		tell(limit(2));
		this.world.open(++this.calls, RequestKind.UNSAFE, 1);
		assertThat(this.world.refusals.get(this.calls).verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.world.refusals.get(this.calls).retryAfter()).hasValue(Duration.ofMillis(527));
		this.world.join(DispatchHarness.PLAIN, "other");
		for (int i = 0; i < 10; i++) {
			assertThat(askAndAnswer(TargetNeeds.NONE, false).target().id()).isEqualTo("other");
		}
		this.world.passTime(527);
		assertThat(this.world.eligibility.takesWork(limited, this.world.now)).isTrue();
	}

	@Test
	void aRepeatedSendingGoesToNoTargetThatHasHadAllItTakes() {
		ListedTarget limited = this.world.join(DispatchHarness.PLAIN, "limited");
		tell(limit(1));
		ListedTarget bad = this.world.join(DispatchHarness.PLAIN, "bad");
		this.world.open(++this.calls, RequestKind.SAFE, 2);
		Sent first = this.world.arrive();
		assertThat(first.target()).isEqualTo(bad);
		this.world.answer(first, 500, false);
		assertThat(this.world.sent.stream().filter((s) -> s.target().equals(limited))).hasSize(1);
		assertThat(this.world.answers(this.calls)).containsExactly("delivered 1");
	}

	@Test
	void aGenerationGoesOnAtNoCopyWhoseEngineHasHadAllItTakes() {
		Sent run = streamOfTwoEngines();
		ListedTarget backup = backupOf(run);
		this.world.needs.told(backup, limit(0.2), 0, 0);
		this.world.leave(run.target());
		assertThat(this.world.sent.stream().filter((s) -> s.target().equals(backup))).isEmpty();
	}

	@Test
	void anAnswerOfAnotherTargetOrToAnotherRequestOrOfAFormerRunSaysNothing() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		this.world.join(DispatchHarness.PLAIN, "other");
		while (this.world.sent.stream().noneMatch((s) -> s.target().equals(target))) {
			this.world.open(++this.calls, RequestKind.SAFE, 2);
			this.world.arrive();
		}
		Sent sent = this.world.sent.get(this.world.sent.size() - 1);
		headOf(sent, 421, "");
		headOf(sent, 200, "request-999");
		assertThat(this.world.needs.limited()).isEqualTo(0);
		this.world.end(target);
		headOf(sent, 200, DispatchHarness.id(sent.call()));
		assertThat(this.world.needs.limited()).isEqualTo(0);
	}

	@Test
	void whatCannotBeTrueIsRecordedOnceAndChangesNothing() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		tell(limit(1));
		for (double absurd : new double[] { -1, Double.NaN, 1e9 }) {
			this.world.needs.told(target, limit(absurd), this.world.now, this.world.now);
		}
		assertThat(this.world.needs.limited()).isEqualTo(1);
		assertThat(this.world.audit.stream().filter((e) -> e.cause().contains("passed over"))).hasSize(1);
	}

	@Test
	void aTargetThatStartsAgainNeedsNothing() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		tell(limit(0));
		ListedTarget again = this.world.startAgain(target);
		assertThat(this.world.eligibility.takesWork(again, this.world.now)).isTrue();
		assertThat(this.world.needs.limited()).isEqualTo(0);
	}

	@Test
	void nothingNewGoesToATargetThatSaidInAnAnswerThatItLeavesWhateverTheListSays() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		tell(LEAVING);
		assertThat(this.world.needsToTell).containsExactly(target.run());
		refusedAtOnce();
		this.world.directory.put(target);
		refusedAtOnce();
		this.world.end(target);
		this.world.directory.put(target);
		refusedAtOnce();
		assertThat(this.world.eligibility.takesWork(this.world.startAgain(target), this.world.now)).isTrue();
	}

	@Test
	void aRequestWhoseConnectionCameUpBehindTheWordGoesElsewhere() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		this.world.open(++this.calls, RequestKind.UNSAFE, 1);
		Sent chosen = this.world.sent.get(0);
		this.world.join(DispatchHarness.PLAIN, "other");
		this.world.needs.told(target, LEAVING, 0, 0);
		assertThat(this.world.assertReady(chosen)).isFalse();
		assertThat(this.world.arrive().target().id()).isEqualTo("other");
	}

	@Test
	void aGenerationStaysAtAnEngineThatSaidSoUntilTheListSaysItAndGoesOnAtNoneThatDid() {
		Sent run = streamOfTwoEngines();
		ListedTarget backup = backupOf(run);
		this.world.needs.told(run.target(), LEAVING, 0, 0);
		this.world.passTime(1_000);
		assertThat(this.world.sent).hasSize(1);
		this.world.needs.told(backup, LEAVING, 0, 0);
		this.world.leave(run.target());
		assertThat(this.world.sent).hasSize(1);
	}

	@Test
	void whatAnotherEntryWasToldHoldsHereAndIsNotPassedOn() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		NeedsNews news = new NeedsNews(List.of(), List.of(target.run()));
		this.world.needs.heard(news, (t) -> true, 0);
		this.world.open(++this.calls, RequestKind.UNSAFE, 1);
		assertThat(this.world.answers(this.calls)).containsExactly("refused 503");
		assertThat(this.world.needs.news(1)).isEqualTo(NeedsNews.NONE);
	}

	@Test
	void othersAreToldAtOnceOfNeedsThatAreNew() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		this.world.needs.told(target, limit(3), 0, 0);
		this.world.needs.told(target, limit(3), 1, 1);
		this.world.needs.told(target, limit(4), 2, 2);
		this.world.needs.told(target, LEAVING, 3, 3);
		this.world.needs.told(target, LEAVING, 4, 4);
		assertThat(this.world.needsToTell).hasSize(4);
		assertThat(this.world.needs.news(60_004).leaving()).containsExactly(target.run());
		assertThat(this.world.needs.news(60_005).leaving()).isEmpty();
	}

	@Test
	void aTargetThatSaidSoAndEndsUnderARequestIsNotHeldAgainstTheRequest() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		this.world.open(++this.calls, RequestKind.UNSAFE, 1);
		Sent sent = this.world.arrive();
		this.world.needs.told(target, LEAVING, 0, 0);
		this.world.breakOff(sent);
		this.world.dispatcher.checked(target, true, this.world.now);
		assertThat(this.world.suspected).isEmpty();
	}

	@Test
	void aTargetThatAskedForRestIsLeftAloneUntilItsEndAndCallersAreToldSo() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		askAndAnswer(rest(3_000), true);
		assertThat(this.world.refusals.get(1L).retryAfter()).hasValue(Duration.ofMillis(3_000));
		this.world.passTime(1_000);
		refusedAtOnce();
		assertThat(this.world.refusals.get(this.calls).retryAfter()).hasValue(Duration.ofMillis(2_000));
		assertThat(this.world.sent).hasSize(1);
		this.world.passTime(1_999);
		refusedAtOnce();
		this.world.passTime(1);
		this.world.open(++this.calls, RequestKind.UNSAFE, 1);
		assertThat(this.world.arrive().target()).isEqualTo(target);
	}

	@Test
	void aRestGoesOnThoughTheTargetsItemWasGoneForAMoment() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		askAndAnswer(rest(3_000), true);
		this.world.end(target);
		this.world.directory.put(target);
		refusedAtOnce();
		assertThat(this.world.sent).hasSize(1);
	}

	@Test
	void aRestThatIsAskedForAgainDoesNotEndAnEarlierOneBeforeItsTime() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		this.world.needs.told(target, rest(3_000), 0, 0);
		this.world.needs.told(target, rest(100), 0, 500);
		assertThat(this.world.needs.freeInMillis(target, 600)).isEqualTo(2_400);
		assertThat(this.world.needs.resting(2_999)).isEqualTo(1);
		assertThat(this.world.needs.resting(3_000)).isEqualTo(0);
	}

	@Test
	void aRequestOnItsWayToATargetThatMeanwhileAskedForRestGoesElsewhere() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		this.world.open(++this.calls, RequestKind.UNSAFE, 1);
		Sent chosen = this.world.sent.get(0);
		this.world.join(DispatchHarness.PLAIN, "other");
		this.world.needs.told(target, rest(3_000), 0, 0);
		assertThat(this.world.assertReady(chosen)).isFalse();
		assertThat(this.world.arrive().target().id()).isEqualTo("other");
	}

	@Test
	void onlyOneGenerationGoesBackToATargetWithinARest() {
		ListedTarget target = this.world.join(DispatchHarness.ENGINES, "target");
		this.world.needs.told(target, rest(3_000), 0, 0);
		assertThat(this.world.eligibility.takesReturn(target, 0)).isTrue();
		this.world.eligibility.sent(target, 0);
		assertThat(this.world.eligibility.takesReturn(target, 10)).isFalse();
		assertThat(this.world.eligibility.takesReturn(target, 3_000)).isTrue();
	}

	@Test
	void aRestThatCannotBeMeantIsPassedOver() {
		ListedTarget target = this.world.join(DispatchHarness.PLAIN, "target");
		for (long absurd : new long[] { -1, 3_600_001, Long.MAX_VALUE }) {
			this.world.needs.told(target, rest(absurd), 0, 0);
		}
		assertThat(this.world.needs.freeInMillis(target, 0)).isEqualTo(0);
		assertThat(this.world.audit.stream().filter((e) -> e.cause().contains("passed over"))).hasSize(1);
	}

	// A generation that has begun at one of two engines, and has a copy at the other.
	private Sent streamOfTwoEngines() {
		this.world.join(DispatchHarness.ENGINES, "a");
		this.world.join(DispatchHarness.ENGINES, "b");
		this.world.openStream(++this.calls);
		Sent run = this.world.arrive();
		this.world.event(run, 0);
		return run;
	}

	private ListedTarget backupOf(Sent run) {
		String address = run.order().backup().get();
		return this.world.directory.all().stream().filter((t) -> t.address().equals(address)).findFirst().get();
	}

	private static TargetNeeds rest(long millis) {
		return new TargetNeeds(OptionalDouble.empty(), OptionalLong.of(millis), false);
	}

	private void refusedAtOnce() {
		this.world.open(++this.calls, RequestKind.UNSAFE, 1);
		assertThat(this.world.answers(this.calls)).containsExactly("refused 503");
		assertThat(this.world.refusals.get(this.calls).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	private void headOf(Sent sent, int status, String request) {
		this.world.dispatcher.headReceived(sent.call(), sent.attempt(), new AnswerHead(status, request, true, false,
				false, false, Optional.empty(), OptionalLong.empty(), limit(1)), this.world.now);
	}

	private static TargetNeeds limit(double perSecond) {
		return new TargetNeeds(OptionalDouble.of(perSecond), OptionalLong.empty(), false);
	}

	// Lets the one target there is answer and say what it needs.
	private void tell(TargetNeeds needs) {
		askAndAnswer(needs, false);
	}

	private Sent askAndAnswer(TargetNeeds needs, boolean isTurnedAway) {
		this.world.open(++this.calls, RequestKind.UNSAFE, 1);
		Sent sent = this.world.arrive();
		this.world.answer(sent, isTurnedAway ? 503 : 200, isTurnedAway, needs);
		return sent;
	}

}
