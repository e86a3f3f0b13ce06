package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.poison.PoisonSettings;
import dev.laneworks.core.serving.AccountKeys;
import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.RequestLimits;
import dev.laneworks.core.serving.RouteSpec;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.serving.WeightedService;
import dev.laneworks.core.shares.AccountOveruse;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;
import dev.laneworks.core.waiting.GenerationQueues;
import dev.laneworks.core.waiting.PeerDemand;
import dev.laneworks.core.waiting.WaitingOrder;
import dev.laneworks.core.waiting.WaitingSettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for generations of a governed service that wait for engine memory.
 */
class QueuedStartsTests {

	private static final RouteSpec LONG = route("long", 2, 4_006, 39_054);

	private static final RouteSpec SHORT = route("short", 0, 1_504, 6_016);

	private final GenerationQueues queues = queues();

	private final DispatchHarness harness = new DispatchHarness(1, 100, 1,
			new Mechanisms(Set.of(Mechanism.STANDBY_COPIES, Mechanism.RUNNING_COPIES)), PoisonSettings.defaults(),
			this.queues, plan());

	@BeforeEach
	void addEngine() {
		this.harness.join(DispatchHarness.ENGINES, "e1");
	}

	private GenerationQueues queues() {
		return new GenerationQueues(Optional.of(new WaitingSettings(3_000, WaitingOrder.LEAST_SLACK, 512, false)),
				(service, priority, now) -> (priority == 0) ? 0.97 : 0.75, AccountOveruse.NONE, PeerDemand.NONE,
				new SplittableRandom(1));
	}

	@Test
	void startsUpToTheLimitAndQueuesTheRest() {
		fill();
		assertThat(this.harness.sent).hasSize(6);
		openLong(7);
		assertThat(this.harness.sent).hasSize(6);
		assertThat(this.harness.refusals).isEmpty();
		openShort(8);
		assertThat(last().call()).isEqualTo(8);
		assertThat(this.queues.demand(this.harness.now).get(0).queuedRequests()).isEqualTo(1);
	}

	@Test
	void releasedMemoryStartsTheNextAtOnceAndIsLogged() {
		fill();
		openLong(7);
		this.harness.now += 10;
		complete(this.harness.sent.get(0));
		assertThat(last().call()).isEqualTo(7);
		List<String> story = this.harness.audit.stream()
			.filter((e) -> e.subject().equals(DispatchHarness.id(7)))
			.map((e) -> e.kind().label() + ": " + e.cause())
			.toList();
		assertThat(story.get(0)).startsWith("accepted: ");
		assertThat(story.get(1)).startsWith("queued: position 1, none ahead, slack ");
		assertThat(story.get(1))
			.contains("limit 75%, least used engine e1 at 82% with it, 0 queued at 0 other entries");
		assertThat(story.get(2)).startsWith("routed: attempt 1");
		assertThat(story.get(2)).endsWith(", queued for 10 ms behind 0 others");
	}

	@Test
	void checkFindsMemoryOfAnEngineThatJoins() {
		fill();
		openLong(7);
		this.harness.join(DispatchHarness.ENGINES, "e2");
		this.harness.passTime(121);
		assertThat(last().target().id()).isEqualTo("e2");
		assertThat(this.queues.isWaiting(DispatchHarness.ENGINES)).isFalse();
	}

	// Updates from other data centres are older, so that others may have used the memory.
	@Test
	void engineInAnotherDataCentreNeedsMemoryForTwo() {
		fill();
		ListedTarget remote = this.harness.join(DispatchHarness.ENGINES, "e2", "dc2");
		this.harness.estimates.update(remote, (t) -> t.addReservedTokens(14_000));
		openLong(7);
		assertThat(this.harness.sent).hasSize(6);
		this.harness.estimates.update(remote, (t) -> t.addReservedTokens(-1_500));
		this.harness.passTime(121);
		assertThat(last().target().id()).isEqualTo("e2");
	}

	@Test
	void notExecutedReturnsToItsPlace() {
		fill();
		openLong(7);
		this.harness.passTime(50);
		openLong(8);
		ListedTarget joined = this.harness.join(DispatchHarness.ENGINES, "e2");
		this.harness.passTime(121);
		DispatchHarness.Sent rejected = this.harness.sent.get(6);
		assertThat(rejected.call()).isEqualTo(7);
		this.harness.estimates.update(joined, (t) -> t.addReservedTokens(26_928));
		this.harness.assertReady(rejected);
		this.harness.answer(rejected, 503, true);
		assertThat(this.queues.isQueued(DispatchHarness.ENGINES, 7)).isTrue();
		complete(this.harness.sent.get(0));
		assertThat(last().call()).isEqualTo(7);
		assertThat(last().attempt()).isEqualTo(2);
	}

	// Guards against endless attempts of an entry that does not see the work of others.
	@Test
	void fullEnginesLimitTheStartsWhileGossipIsSilent() {
		fill();
		for (int i = 2; i <= 6; i++) {
			this.harness.join(DispatchHarness.ENGINES, "e" + i);
		}
		openLong(7);
		for (int attempt = 1; attempt <= 4; attempt++) {
			assertThat(last().attempt()).isEqualTo(attempt);
			this.harness.answer(this.harness.sendLast(), 503, true);
		}
		assertThat(this.harness.sent).hasSize(10);
		assertThat(this.harness.refusals.get(7L).verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.queues.isWaiting(DispatchHarness.ENGINES)).isFalse();
	}

	// Guards against a generation that is lost between the queue and its engine.
	@Test
	void engineThatLeavesBetweenCheckAndSendReturnsGenerationToTheQueue() {
		fill();
		openLong(7);
		ListedTarget leaving = this.harness.join(DispatchHarness.ENGINES, "e2");
		this.harness.passTime(121);
		DispatchHarness.Sent unsent = last();
		assertThat(unsent.target().id()).isEqualTo("e2");
		this.harness.drain(leaving);
		assertThat(this.harness.assertReady(unsent)).isFalse();
		assertThat(this.queues.isQueued(DispatchHarness.ENGINES, 7)).isTrue();
		this.harness.join(DispatchHarness.ENGINES, "e3");
		this.harness.passTime(121);
		assertThat(last().call()).isEqualTo(7);
		assertThat(last().target().id()).isEqualTo("e3");
	}

	// Guards against work for callers who are gone.
	@Test
	void callerThatDisconnectsLeavesTheQueue() {
		fill();
		openLong(7);
		openLong(8);
		this.harness.dispatcher.callerDisconnected(7, this.harness.now);
		complete(this.harness.sent.get(0));
		assertThat(last().call()).isEqualTo(8);
		assertThat(this.queues.isWaiting(DispatchHarness.ENGINES)).isFalse();
	}

	@Test
	void quarantinedRequestLeavesTheQueue() {
		fill();
		openLong(7);
		List.of("crashed1", "crashed2", "crashed3")
			.forEach((id) -> this.harness.suspects.recordCrash(DispatchHarness.digest(7), TargetIncarnation.of(id), 0,
					this.harness.now));
		assertThat(this.harness.refusals.get(7L).reason()).isEqualTo(RefusalReason.QUARANTINED);
		assertThat(this.queues.isQueued(DispatchHarness.ENGINES, 7)).isFalse();
	}

	// Guards against callers who wait in vain at an entry that ends.
	@Test
	void shutdownRefusesWhatCannotComplete() {
		fill();
		openLong(7);
		openLong(8);
		this.harness.dispatcher.refuseUnfinishable((r) -> !r.id().equals(DispatchHarness.id(7)), this.harness.now);
		Refusal refusal = this.harness.refusals.get(7L);
		assertThat(refusal.reason()).isEqualTo(RefusalReason.LEAVING);
		assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(refusal.retryAfter().get().toMillis()).isEqualTo(0);
		assertThat(this.queues.isQueued(DispatchHarness.ENGINES, 8)).isTrue();
	}

	// Guards against generations that start in the memory of those that the end of the
	// process cuts off.
	@Test
	void endOfTheProcessAnswersAllCallsAndStartsNone() {
		fill();
		openLong(7);
		this.harness.event(this.harness.sent.get(0), 0);
		this.harness.dispatcher.endAll(this.harness.now);
		this.harness.passTime(0);
		assertThat(this.harness.sent).hasSize(6);
		assertThat(this.harness.dispatcher.openCalls()).isEqualTo(0);
		assertThat(this.harness.answers(1)).contains("cut");
		assertThat(this.harness.refusals.get(2L).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.harness.refusals.get(7L).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	// Guards against starts for callers whose time passed while the process was paused.
	@Test
	void pausedProcessRefusesExpiredBeforeItStartsAny() {
		fill();
		openLong(7);
		this.harness.passTime(6_000);
		openLong(8);
		this.harness.join(DispatchHarness.ENGINES, "e2");
		this.harness.now += 6_000;
		this.harness.timers.run(this.harness.now);
		assertThat(this.harness.refusals.get(7L).verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.harness.sent.stream().map(DispatchHarness.Sent::call).toList()).doesNotContain(7L);
		this.harness.passTime(121);
		assertThat(last().call()).isEqualTo(8);
	}

	@Test
	void waitEndsBeforeTheCallerGivesUp() {
		fill();
		openLong(7);
		this.harness.passTime(10_014);
		assertThat(this.harness.refusals).isEmpty();
		this.harness.passTime(1);
		Refusal refusal = this.harness.refusals.get(7L);
		assertThat(refusal.reason()).isEqualTo(RefusalReason.OVERLOADED);
		assertThat(refusal.detail())
			.startsWith("no engine had memory for the generation before its longest wait passed");
	}

	private void fill() {
		for (int call = 1; call <= 6; call++) {
			openLong(call);
			this.harness.sendLast();
		}
	}

	private void openLong(long call) {
		open(call, LONG, new GenerationSize("m", 2_900, 748, OptionalLong.empty(), List.of()));
	}

	private void openShort(long call) {
		open(call, SHORT, new GenerationSize("m", 2_550, 8, OptionalLong.empty(), List.of()));
	}

	private void open(long call, RouteSpec route, GenerationSize size) {
		this.harness.dispatcher.open(call,
				new DirectRequest(DispatchHarness.id(call), route, DispatchHarness.ENGINES, "acme",
						route.timeoutMillis(), AllowedRegions.any(), DispatchHarness.digest(call), Optional.of(size)),
				this.harness.now);
		this.harness.passTime(0);
	}

	private void complete(DispatchHarness.Sent sent) {
		this.harness.event(sent, 0);
		this.harness.dispatcher.streamEnded(sent.call(), sent.attempt(), AnswerEnd.MARKED, this.harness.now);
		this.harness.passTime(0);
	}

	private DispatchHarness.Sent last() {
		return this.harness.sent.get(this.harness.sent.size() - 1);
	}

	private static ServingPlan plan() {
		EngineSpec engine = new EngineSpec(24, 26_928, 18_432, 2_700, 4, true, true, 2_000);
		return new ServingPlan(1, List.of(LONG, SHORT),
				Map.of(DispatchHarness.ENGINES, new ServiceSpec(DispatchHarness.ENGINES, 400, 0, Optional.of(engine))),
				AccountKeys.notRequired(), new RequestLimits(16_384, 4_194_304, 3_000, 15_000));
	}

	private static RouteSpec route(String name, int priority, long goalMillis, long timeoutMillis) {
		return new RouteSpec(name, "h", "/", RequestKind.STREAMING, timeoutMillis, goalMillis, 180, priority, 1, false,
				List.of(new WeightedService(DispatchHarness.ENGINES, 1)), AllowedRegions.any());
	}

}
