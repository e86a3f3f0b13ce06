package dev.laneworks.core.waiting;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import dev.laneworks.core.gossip.ServiceDemand;
import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.shares.AccountOveruse;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for the order, the bounds and the pacing of {@link GenerationQueues}.
 */
class GenerationQueuesTests {

	private static final String SERVICE = "engines";

	private static final EngineMemory MEMORY = new EngineMemory(270_000, 0.75);

	private final TestPeers peers = new TestPeers();

	private Map<String, Double> overuse = Map.of();

	private final GenerationQueues queues = create(WaitingOrder.LEAST_SLACK, 4);

	// Guards against the urgent route being treated like the others where the client
	// accounts have priorities, which replace those of the routes.
	@Test
	void routePriorityDecidesWithinPriorityOfAccounts() {
		QueuedGeneration less = new QueuedGeneration(1, 1, 2, "a", AllowedRegions.any(), 3_300, 700, 0, 0, 4_000,
				39_000);
		QueuedGeneration urgent = new QueuedGeneration(2, 1, 0, "b", AllowedRegions.any(), 2_300, 10, 100, 100, 1_500,
				6_000);
		assertThat(less.holdsBack(urgent)).isFalse();
		assertThat(urgent.holdsBack(less)).isTrue();
		this.queues.enqueue(SERVICE, less, MEMORY, 0);
		this.queues.enqueue(SERVICE, urgent, MEMORY, 100);
		assertThat(this.queues.inOrder(SERVICE, 100)).containsExactly(urgent, less).inOrder();
	}

	@Test
	void ordersByPriorityThenTimelinessThenShareThenReturnThenSlack() {
		this.overuse = Map.of("large", 1.2);
		QueuedGeneration late = generation(1, 2, "a", 900, 0, 500);
		QueuedGeneration overShare = generation(2, 2, "large", 1_000, 1_000, 3_000);
		QueuedGeneration fresh = generation(3, 2, "a", 1_000, 1_000, 3_500);
		QueuedGeneration returned = generation(4, 2, "a", 1_000, 400, 6_000);
		QueuedGeneration urgent = generation(5, 0, "large", 1_000, 1_000, 9_000);
		QueuedGeneration relaxed = generation(6, 2, "a", 1_000, 1_000, 8_000);
		GenerationQueues large = create(WaitingOrder.LEAST_SLACK, 100);
		List.of(late, overShare, fresh, returned, urgent, relaxed)
			.forEach((g) -> large.enqueue(SERVICE, g, MEMORY, 1_000));
		assertThat(large.inOrder(SERVICE, 1_000)).containsExactly(urgent, returned, fresh, relaxed, overShare, late)
			.inOrder();
	}

	// Guards against starvation of large generations by a stream of small ones.
	@Test
	void shortestFirstStartsLargeGenerationBeforeItsSlackIsUsedUp() {
		GenerationQueues shortest = create(WaitingOrder.SHORTEST_FIRST, 100);
		QueuedGeneration large = new QueuedGeneration(1, 2, "a", AllowedRegions.any(), 9_000, 1_500, 0, 0, 4_000,
				40_000);
		shortest.enqueue(SERVICE, large, MEMORY, 0);
		QueuedGeneration early = new QueuedGeneration(2, 2, "a", AllowedRegions.any(), 3_000, 700, 100, 100, 4_000,
				40_100);
		shortest.enqueue(SERVICE, early, MEMORY, 100);
		assertThat(shortest.inOrder(SERVICE, 100)).containsExactly(early, large).inOrder();
		QueuedGeneration recent = new QueuedGeneration(3, 2, "a", AllowedRegions.any(), 1_000, 10, 3_300, 3_300, 4_000,
				43_000);
		shortest.enqueue(SERVICE, recent, MEMORY, 3_300);
		assertThat(shortest.inOrder(SERVICE, 3_300).get(0)).isEqualTo(large);
	}

	// Guards against an unbounded queue, and against an urgent request that is refused
	// for the sake of one that is less urgent.
	@Test
	void fullQueueRefusesTheLastBySortKey() {
		for (int call = 1; call <= 4; call++) {
			this.queues.enqueue(SERVICE, generation(call, 2, "a", call, call, 4_000), MEMORY, 10);
		}
		Optional<QueueRefusal> refusal = this.queues.enqueue(SERVICE, generation(9, 0, "a", 10, 10, 1_500), MEMORY, 10);
		assertThat(refusal.get().generation().call()).isEqualTo(4);
		assertThat(refusal.get().cause()).isEqualTo(QueueRefusal.Cause.QUEUE_FULL);
		assertThat(this.queues.inOrder(SERVICE, 10).get(0).call()).isEqualTo(9);
		assertThat(this.queues.refused()).isEqualTo(1);
	}

	@Test
	void refusesAtOnceWhatCannotStartInHalfOfTheTimeLeft() {
		EngineMemory scarce = new EngineMemory(3_300, 0.75);
		Optional<QueueRefusal> refusal = this.queues.enqueue(SERVICE, generation(1, 2, "a", 0, 0, 4_000),
				new EngineMemory(1_000, 0.75), 0);
		assertThat(refusal.get().cause()).isEqualTo(QueueRefusal.Cause.STARTS_TOO_LATE);
		assertThat(this.queues.enqueue(SERVICE, generation(2, 2, "a", 0, 0, 4_000), scarce, 0)).isEmpty();
		assertThat(this.queues.inOrder(SERVICE, 0)).hasSize(1);
	}

	// The queues of other entries claim memory too, and so does memory above the limit.
	@Test
	void expectsLongerWaitBesideOtherQueuesAndAboveTheLimit() {
		QueuedGeneration generation = generation(1, 2, "a", 0, 0, 4_000);
		long alone = waitOf(generation, MEMORY);
		assertThat(waitOf(generation, new EngineMemory(270_000, 0.9))).isGreaterThan(alone + 1_000);
		this.peers.entries = 30;
		this.peers.demand = new ServiceDemand(SERVICE, 9, 29_700, 0, 0, List.of());
		assertThat(waitOf(generation, MEMORY)).isAtLeast(9 * alone);
	}

	// Guards against starts of expired generations by a process that was paused.
	@Test
	void removesExpiredGenerations() {
		this.queues.enqueue(SERVICE, generation(1, 2, "a", 0, 0, 4_000), MEMORY, 0);
		QueuedGeneration tooShort = new QueuedGeneration(2, 2, "a", AllowedRegions.any(), 3_300, 700, 0, 0, 4_000,
				8_000);
		this.queues.enqueue(SERVICE, tooShort, MEMORY, 0);
		List<QueueRefusal> expired = this.queues.removeExpired(SERVICE, 1_000);
		assertThat(expired).containsExactly(new QueueRefusal(tooShort, QueueRefusal.Cause.COMPLETES_TOO_LATE, 0));
		assertThat(this.queues.removeExpired(SERVICE, 9_999)).isEmpty();
		assertThat(this.queues.removeExpired(SERVICE, 10_000)).hasSize(1);
		assertThat(this.queues.isWaiting(SERVICE)).isFalse();
	}

	// Guards against an account that floods a full queue at the cost of the others.
	@Test
	void fullQueueRefusesTheAccountThatDemandsMostBeyondItsShare() {
		this.overuse = Map.of("flood", 3.0);
		Map<String, Long> queued = new HashMap<>();
		this.queues.onQueueChange((service, account, change) -> queued.merge(account, change, Long::sum));
		this.queues.enqueue(SERVICE, generation(1, 2, "flood", 0, 0, 2_000), MEMORY, 10);
		this.queues.enqueue(SERVICE, generation(2, 2, "flood", 0, 0, 1_000), MEMORY, 10);
		this.queues.enqueue(SERVICE, generation(3, 2, "a", 0, 0, 4_000), MEMORY, 10);
		this.queues.enqueue(SERVICE, generation(4, 2, "a", 0, 0, 4_000), MEMORY, 10);
		Optional<QueueRefusal> refusal = this.queues.enqueue(SERVICE, generation(5, 2, "b", 0, 0, 4_000), MEMORY, 10);
		assertThat(refusal.get().generation().call()).isEqualTo(1);
		assertThat(queued).containsExactly("flood", 3_300L, "a", 6_600L, "b", 3_300L);
	}

	// Guards against callers that are all told to return at the same moment, and against
	// other entries that give the same time again.
	@Test
	void refusedCallersReturnOneAfterTheOtherAndAreReported() {
		QueuedGeneration refused = generation(1, 2, "a", 0, 0, 4_000);
		long first = this.queues.retryTime(SERVICE, refused, MEMORY, 30_000, 0).millis();
		long second = this.queues.retryTime(SERVICE, refused, MEMORY, 30_000, 0).millis();
		assertThat(second).isGreaterThan(first);
		ServiceDemand demand = this.queues.demand(0).get(0);
		assertThat(demand.returningRequests()).isEqualTo(2);
		assertThat(demand.returningTokens()).isEqualTo(6_600);
		assertThat(this.queues.demand(second)).isEmpty();
	}

	@Test
	void generationWaitsOnlyForThoseThatMayUseTheSameEngines() {
		QueuedGeneration north = new QueuedGeneration(1, 0, "a", AllowedRegions.of(List.of("north")), 3_300, 10, 0, 0,
				4_000, 40_000);
		this.queues.enqueue(SERVICE, north, MEMORY, 0);
		assertThat(this.queues.isNext(SERVICE, generation(2, 2, "a", 0, 0, 4_000), 0)).isTrue();
		this.queues.enqueue(SERVICE, generation(3, 1, "a", 0, 0, 4_000), MEMORY, 0);
		assertThat(this.queues.isNext(SERVICE, generation(2, 2, "a", 0, 0, 4_000), 0)).isFalse();
		assertThat(this.queues.isNext(SERVICE, generation(4, 0, "a", 0, 0, 4_000), 0)).isTrue();
	}

	// Guards against entries that all claim the same released memory.
	@Test
	void checksLessOftenWhereOthersWaitAndWhileGossipIsSilent() {
		this.queues.enqueue(SERVICE, generation(1, 2, "a", 0, 0, 4_000), MEMORY, 0);
		this.peers.entries = 10;
		assertThat(meanCheckMillis()).isWithin(5).of(40);
		this.peers.demand = new ServiceDemand(SERVICE, 4, 13_200, 0, 0, List.of());
		assertThat(meanCheckMillis()).isWithin(25).of(200);
		this.peers.demand = ServiceDemand.none(SERVICE);
		this.peers.entries = 1;
		assertThat(meanCheckMillis()).isWithin(10).of(80);
	}

	@Test
	void reportsDemandAndOldestByPriority() {
		this.queues.enqueue(SERVICE, generation(1, 2, "a", 5, 5, 4_000), MEMORY, 10);
		this.queues.enqueue(SERVICE, generation(2, 2, "a", 9, 9, 4_000), MEMORY, 10);
		assertThat(this.queues.demand(0)).containsExactly(new ServiceDemand(SERVICE, 2, 2 * 3_300, 0, 0, List.of()));
		assertThat(this.queues.countByPriority()).containsExactly(2, new WaitingCount(2, 5));
		this.queues.remove(SERVICE, 1);
		this.queues.remove(SERVICE, 2);
		assertThat(this.queues.demand(0)).isEmpty();
	}

	@Test
	void learnsTimeToFirstEventAndReleaseOfMemory() {
		QueuedGeneration generation = generation(1, 2, "a", 0, 0, 4_000);
		long slack = this.queues.position(SERVICE, generation, MEMORY, 0).slackMillis();
		long wait = waitOf(generation, MEMORY);
		for (int i = 0; i < 100; i++) {
			this.queues.recordFirstEvent(SERVICE, 2, 1_400);
			this.queues.recordCompleted(SERVICE, 3_300, 900);
		}
		assertThat(this.queues.position(SERVICE, generation, MEMORY, 0).slackMillis()).isWithin(20).of(slack - 1_000);
		assertThat(waitOf(generation, MEMORY)).isLessThan(wait / 5);
	}

	// Guards against the time per token of short streams, which is mostly the time of
	// their single event, being taken for that of long ones.
	@Test
	void shortStreamsDoNotMakeLongOnesSeemSlow() {
		for (int i = 0; i < 200; i++) {
			this.queues.recordStream(SERVICE, 4, 200);
			this.queues.recordStream(SERVICE, 700, 7_700);
		}
		assertThat(this.queues.enqueue(SERVICE, generation(1, 2, "a", 0, 0, 4_000), MEMORY, 0)).isEmpty();
		assertThat(this.queues.removeExpired(SERVICE, 9_000)).isEmpty();
	}

	@Test
	void estimatesFirstArrivalOfReturnedCallersOnly() {
		assertThat(this.queues.firstArrivalAt("r", 39_000, 1_000)).isEqualTo(1_000);
		assertThat(this.queues.firstArrivalAt("r", 38_950, 1_100)).isEqualTo(1_100);
		assertThat(this.queues.firstArrivalAt("r", 37_000, 2_000)).isEqualTo(0);
		assertThat(this.queues.firstArrivalAt("other", 37_000, 2_000)).isEqualTo(2_000);
		// One odd timeout is not remembered for ever.
		assertThat(this.queues.firstArrivalAt("r", 37_000, 70_000)).isEqualTo(70_000);
	}

	private GenerationQueues create(WaitingOrder order, int maxQueued) {
		AccountOveruse use = (service, account, now) -> this.overuse.getOrDefault(account, 0.0);
		return new GenerationQueues(Optional.of(new WaitingSettings(3_000, order, maxQueued, false)), (s, p, t) -> 0.75,
				use, this.peers, new SplittableRandom(1));
	}

	private long waitOf(QueuedGeneration generation, EngineMemory memory) {
		return this.queues.position(SERVICE, generation, memory, 0).expectedWaitMillis();
	}

	private double meanCheckMillis() {
		long sum = 0;
		for (int i = 0; i < 1_000; i++) {
			sum += this.queues.nextCheckMillis(SERVICE);
		}
		return sum / 1_000.0;
	}

	private static QueuedGeneration generation(long call, int priority, String account, long arrivedAt,
			long firstArrivalAt, long goalMillis) {
		return new QueuedGeneration(call, priority, account, AllowedRegions.any(), 3_300, 700, arrivedAt,
				firstArrivalAt, goalMillis, arrivedAt + 40_000);
	}

	private static final class TestPeers implements PeerDemand {

		private ServiceDemand demand = ServiceDemand.none(SERVICE);

		private int entries = 1;

		@Override
		public ServiceDemand demandOfOthers(String service) {
			return this.demand;
		}

		@Override
		public ServiceDemand demandNearby(String service) {
			return this.demand;
		}

		@Override
		public int entries() {
			return this.entries;
		}

	}

}
