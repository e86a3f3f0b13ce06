package dev.laneworks.core.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToLongBiFunction;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.routing.Rendezvous;
import dev.laneworks.core.time.Timers;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Gossip}.
 */
class GossipTests {

	private static final GossipSettings SETTINGS = new GossipSettings(1_000, 3, 25, 20, 2, 32, 60, 200, 16);

	private final Timers timers = new Timers();

	private final List<String> receivers = new ArrayList<>();

	private final List<String> draining = new ArrayList<>();

	private final List<BackpressureUpdate> receivedSignals = new ArrayList<>();

	private BackpressureUpdate signals = BackpressureUpdate.NONE;

	private final List<AuditEvent> audit = new ArrayList<>();

	private LoadUpdate lastUpdate;

	private List<WorkAtTarget> ownWork = List.of();

	private final Gossip gossip = new Gossip(SETTINGS, "me", "z", "10.0.0.1:7200",
			Set.of("10.0.0.1:7200", "10.0.0.9:7200"), new Outputs(), this.timers, new SplittableRandom(1),
			this.audit::add);

	@Test
	void contactsSeedsExceptItself() {
		this.gossip.start(0);
		assertThat(this.receivers).containsExactly("10.0.0.9:7200");
	}

	@Test
	void nextUpdateOfAPeerReplacesItsWork() {
		assertThat(this.gossip.workOfOthers(TargetIncarnation.of("t"))).isEqualTo(Optional.empty());
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, work(3, 900)), 0);
		this.gossip.handleUpdate("10.0.0.3:7200", update("three", 3, 1, work(1, 100)), 0);
		assertThat(this.gossip.workOfOthers(TargetIncarnation.of("t")).get().reservedTokens()).isEqualTo(1_000);
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 2, work(1, 50)), 10);
		assertThat(this.gossip.workOfOthers(TargetIncarnation.of("t")).get().reservedTokens()).isEqualTo(150);
		assertThat(this.gossip.workOfOthers(TargetIncarnation.of("unknown")).get().requests()).isEqualTo(0);
	}

	@Test
	void ignoresLateUpdateOfTheSameIncarnationOnly() {
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 7, work(1, 700)), 0);
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 6, work(1, 600)), 1);
		assertThat(this.gossip.workOfOthers(TargetIncarnation.of("t")).get().reservedTokens()).isEqualTo(700);
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 99, 1, work(0, 0)), 2);
		assertThat(this.gossip.workOfOthers(TargetIncarnation.of("t")).get().reservedTokens()).isEqualTo(0);
	}

	@Test
	void silentPeerIsRemovedWithItsWork() {
		this.gossip.start(0);
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, work(1, 700)), 0);
		this.timers.run(3_000);
		assertThat(this.gossip.peerCount()).isEqualTo(1);
		this.timers.run(4_000);
		assertThat(this.gossip.peerCount()).isEqualTo(0);
		assertThat(this.gossip.workOfOthers(TargetIncarnation.of("t"))).isEqualTo(Optional.empty());
	}

	/** Guards against a cut-off data centre that is forgotten with its last entry. */
	@Test
	void silenceOfDataCentreIsKnownAfterItsEntriesAreRemoved() {
		assertThat(this.gossip.silentMillis("elsewhere", 5_000)).isEqualTo(0);
		this.gossip.start(0);
		this.gossip.handleUpdate("10.0.0.2:7200", distant("two", 2, work(1, 700)), 0);
		this.timers.run(12_000);
		assertThat(this.gossip.peerCount()).isEqualTo(0);
		assertThat(this.gossip.silentMillis("elsewhere", 12_000)).isEqualTo(12_000);
	}

	@Test
	void peerThatShutsDownIsRemovedAtOnce() {
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, work(1, 700)), 0);
		this.gossip.handleUpdate("10.0.0.2:7200", new LoadUpdate("two", "z", 2, 2, true, false, 1_000, List.of(),
				List.of(), BackpressureUpdate.NONE, List.of()), 5);
		assertThat(this.gossip.peerCount()).isEqualTo(0);
	}

	@Test
	void contactsEntriesThatPeersAdvertise() {
		LoadUpdate update = new LoadUpdate("two", "z", 2, 1, false, false, 1_000, List.of(), List.of(),
				BackpressureUpdate.NONE, List.of("10.0.0.5:7200", "10.0.0.1:7200"));
		this.gossip.handleUpdate("10.0.0.2:7200", update, 0);
		assertThat(this.receivers).containsExactly("10.0.0.2:7200", "10.0.0.5:7200").inOrder();
	}

	@Test
	void batchesChangesUnlessOthersWaitForThem() {
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, work(1, 1)), 100);
		this.receivers.clear();
		this.gossip.workChanged(TargetIncarnation.of("t"), UpdateScope.NEAR, 110);
		this.gossip.workChanged(TargetIncarnation.of("t"), UpdateScope.NEAR, 112);
		this.timers.run(120);
		assertThat(this.receivers).isEmpty();
		this.timers.run(125);
		assertThat(this.receivers).hasSize(1);
		this.gossip.workChanged(TargetIncarnation.of("t"), UpdateScope.INVOLVED, 126);
		this.timers.run(126);
		assertThat(this.receivers).hasSize(2);
	}

	@Test
	void spendingOfARemovedPeerCountsForOneMoreWindow() {
		RetryBudgetUsage spent = new RetryBudgetUsage("s", 10, 4);
		LoadUpdate two = new LoadUpdate("two", "z", 2, 1, false, false, 1_000, List.of(), List.of(spent),
				BackpressureUpdate.NONE, List.of());
		LoadUpdate three = new LoadUpdate("three", "z", 3, 1, false, false, 1_000, List.of(), List.of(spent),
				BackpressureUpdate.NONE, List.of());
		assertThat(this.gossip.budgetUsageOfOthers("s", 10_000, 0)).isEqualTo(Optional.empty());
		this.gossip.handleUpdate("10.0.0.2:7200", two, 0);
		this.gossip.handleUpdate("10.0.0.3:7200", three, 0);
		this.gossip.handleUpdate("10.0.0.2:7200", new LoadUpdate("two", "z", 2, 2, true, false, 1_000, List.of(),
				List.of(), BackpressureUpdate.NONE, List.of()), 100);
		assertThat(this.gossip.budgetUsageOfOthers("s", 10_000, 5_000).get().retries()).isEqualTo(8);
		assertThat(this.gossip.budgetUsageOfOthers("s", 10_000, 10_001).get().retries()).isEqualTo(4);
	}

	@Test
	void everyUpdateCarriesBackPressureSignals() {
		this.signals = new BackpressureUpdate(
				List.of(new RateLimitUpdate(TargetIncarnation.of("t"), OptionalDouble.of(3), 40)),
				List.of(TargetIncarnation.of("u")));
		this.gossip.handleUpdate("10.0.0.2:7200",
				new LoadUpdate("two", "z", 2, 1, false, true, 1_000, List.of(), List.of(), this.signals, List.of()), 0);
		assertThat(this.receivedSignals).containsExactly(this.signals);
		assertThat(this.lastUpdate.signals()).isEqualTo(this.signals);
		this.gossip.workChanged(TargetIncarnation.of("t"), UpdateScope.ALL, 100);
		this.timers.run(200);
		assertThat(this.lastUpdate.partial()).isTrue();
		assertThat(this.lastUpdate.signals()).isEqualTo(this.signals);
	}

	@Test
	void entriesMoveInRankOrderAndWaitForACopyInProgress() {
		String target = targetRanking("two", "me");
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, moving(target, 1, false)), 0);
		assertThat(this.gossip.mayStartMove(TargetIncarnation.of(target), 100, 100)).isFalse();
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 2, moving(target, 0, false)), 0);
		assertThat(this.gossip.mayStartMove(TargetIncarnation.of(target), 5, 5)).isFalse();
		assertThat(this.gossip.mayStartMove(TargetIncarnation.of(target), 20, 20)).isTrue();
		String mine = targetRanking("me", "two");
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 3, moving(mine, 2, false)), 0);
		assertThat(this.gossip.mayStartMove(TargetIncarnation.of(mine), 0, 0)).isTrue();
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 4, moving(mine, 2, true)), 0);
		assertThat(this.gossip.mayStartMove(TargetIncarnation.of(mine), 100, 100)).isFalse();
	}

	@Test
	void silentPeerLosesItsTurn() {
		String target = targetRanking("two", "me");
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, moving(target, 2, true)), 0);
		assertThat(this.gossip.mayStartMove(TargetIncarnation.of(target), 200, 200)).isFalse();
		assertThat(this.gossip.mayStartMove(TargetIncarnation.of(target), 201, 201)).isTrue();
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 2, moving(target, 2, true)), 210);
		assertThat(this.gossip.mayStartMove(TargetIncarnation.of(target), 211, 211)).isFalse();
	}

	@Test
	void sendsFrequentUpdatesWhileMoving() {
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, work(1, 1)), 0);
		this.ownWork = List.of(moving("t", 1, true));
		this.gossip.workChanged(TargetIncarnation.of("t"), UpdateScope.INVOLVED, 100);
		this.timers.run(100);
		this.receivers.clear();
		this.timers.run(160);
		this.timers.run(220);
		assertThat(this.receivers).hasSize(2);
		this.ownWork = List.of();
		this.timers.run(280);
		this.timers.run(400);
		assertThat(this.receivers).hasSize(2);
	}

	@Test
	void peerWithALongCopyLosesItsTurn() {
		String target = "t";
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, moving(target, 1, true)), 0);
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 2, moving(target, 1, true)), 400);
		assertThat(this.gossip.mayStartMove(TargetIncarnation.of(target), 500, 500)).isFalse();
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 3, moving(target, 1, true)), 490);
		assertThat(this.gossip.mayStartMove(TargetIncarnation.of(target), 501, 501)).isTrue();
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 4, moving(target, 0, false)), 510);
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 5, moving(target, 1, true)), 520);
		assertThat(this.gossip.mayStartMove(TargetIncarnation.of(target), 530, 530)).isFalse();
	}

	@Test
	void nearPeersReceiveChangesAtOnceAndDistantOnesByHeartbeat() {
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, work(0, 0)), 0);
		this.gossip.handleUpdate("10.0.0.3:7200", distant("three", 3), 0);
		this.gossip.handleUpdate("10.0.0.4:7200", distant("four", 4), 0);
		this.gossip.start(0);
		this.receivers.clear();
		this.gossip.workChanged(TargetIncarnation.of("t"), UpdateScope.NEAR, 100);
		this.timers.run(100);
		assertThat(this.receivers).containsExactly("10.0.0.2:7200");
		assertThat(this.lastUpdate.partial()).isTrue();
		this.receivers.clear();
		this.timers.run(1_000);
		this.timers.run(2_000);
		assertThat(this.receivers).containsAtLeast("10.0.0.3:7200", "10.0.0.4:7200");
		assertThat(this.lastUpdate.partial()).isFalse();
		assertThat(this.lastUpdate.nextWithinMillis()).isEqualTo(3_000);
	}

	@Test
	void passesOnThatAPeerReportsADrainingTarget() {
		this.gossip.handleUpdate("10.0.0.2:7200",
				update("two", 2, 1, new WorkAtTarget(TargetIncarnation.of("t"), 0, 0, 0, 0, false, 0, true)), 0);
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 2, work(1, 1)), 1);
		assertThat(this.draining).containsExactly("t");
	}

	@Test
	void workIsKeptSeparateForEachTargetIncarnation() {
		TargetIncarnation former = TargetIncarnation.of("t", 1_000);
		WorkAtTarget work = new WorkAtTarget(former, 3, 70, 10, 1, true, 2, true);
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, work), 0);
		assertThat(this.gossip.workOfOthers(former)).isEqualTo(Optional.of(work));
		TargetIncarnation started = TargetIncarnation.of("t", 900);
		assertThat(this.gossip.workOfOthers(started)).isEqualTo(Optional.of(WorkAtTarget.none(started)));
		assertThat(this.gossip.isCopying(started)).isFalse();
		assertThat(this.gossip.mayStartMove(started, 500, 500)).isTrue();
	}

	@Test
	void firstLiveEntryProbesTheTargetsOfItsDataCentre() {
		ToLongBiFunction<String, String> rank = (d, i) -> i.equals("two") ? 2 : 1;
		assertThat(this.gossip.isProber("z", rank, 0)).isTrue();
		this.gossip.handleUpdate("10.0.0.3:7200", distant("two", 2), 0);
		assertThat(this.gossip.isProber("z", rank, 0)).isTrue();
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 3, 1, work(1, 1)), 0);
		assertThat(this.gossip.isProber("z", rank, 1_200)).isFalse();
		assertThat(this.gossip.isProber("z", rank, 1_201)).isTrue();
	}

	@Test
	void firstEntryOfAllProbesADataCentreWithoutEntries() {
		ToLongBiFunction<String, String> rank = (d, i) -> (i.equals("two") == d.equals("far")) ? 2 : 1;
		assertThat(this.gossip.isProber("far", rank, 0)).isTrue();
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, work(1, 1)), 0);
		assertThat(this.gossip.isProber("far", rank, 0)).isFalse();
		assertThat(this.gossip.isProber("elsewhere", rank, 0)).isTrue();
		this.gossip.handleUpdate("10.0.0.3:7200", distant("three", 3), 0);
		String otherDataCentre = distant("three", 3).dataCentre();
		assertThat(this.gossip.isProber(otherDataCentre, rank, 0)).isFalse();
	}

	@Test
	void wideChangeReachesAllOfASmallFleetAndASampleOfALargeOne() {
		for (int i = 2; i < 12; i++) {
			this.gossip.handleUpdate("10.0.0." + i + ":7200", distant("e" + i, i), 0);
		}
		this.receivers.clear();
		this.gossip.workChanged(TargetIncarnation.of("t"), UpdateScope.SAMPLE, 100);
		this.timers.run(100);
		assertThat(this.receivers).hasSize(10);
		this.gossip.handleUpdate("10.0.0.77:7200", distant("worker", 77, work(1, 1)), 150);
		for (int i = 12; i < 100; i++) {
			this.gossip.handleUpdate("10.0.1." + i + ":7200", distant("e" + i, i), 150);
		}
		this.receivers.clear();
		this.gossip.workChanged(TargetIncarnation.of("t"), UpdateScope.SAMPLE, 200);
		this.timers.run(200);
		assertThat(this.receivers.size()).isAtMost(SETTINGS.maxWideReceivers() + 1);
		assertThat(this.receivers.size()).isAtLeast(SETTINGS.maxWideReceivers());
		assertThat(this.receivers).contains("10.0.0.77:7200");
	}

	@Test
	void changeForAllReachesAllPeers() {
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, work(0, 0)), 0);
		this.gossip.handleUpdate("10.0.0.3:7200", distant("three", 3), 0);
		this.gossip.handleUpdate("10.0.0.4:7200", distant("four", 4), 0);
		this.receivers.clear();
		this.gossip.workChanged(TargetIncarnation.of("t"), UpdateScope.ALL, 100);
		this.gossip.workChanged(TargetIncarnation.of("u"), UpdateScope.NEAR, 100);
		this.timers.run(100);
		assertThat(this.receivers).containsExactly("10.0.0.2:7200", "10.0.0.3:7200", "10.0.0.4:7200");
		this.receivers.clear();
		this.gossip.workChanged(TargetIncarnation.of("u"), UpdateScope.NEAR, 200);
		this.timers.run(200);
		assertThat(this.receivers).containsExactly("10.0.0.2:7200");
	}

	@Test
	void moveReachesPeersWithWorkAtTheTarget() {
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, work(0, 0)), 0);
		this.gossip.handleUpdate("10.0.0.3:7200", distant("three", 3, work(1, 1)), 0);
		this.gossip.handleUpdate("10.0.0.4:7200", distant("four", 4), 0);
		this.receivers.clear();
		this.gossip.workChanged(TargetIncarnation.of("t"), UpdateScope.INVOLVED, 100);
		this.timers.run(100);
		assertThat(this.receivers).containsExactly("10.0.0.2:7200", "10.0.0.3:7200");
	}

	@Test
	void partialUpdateChangesOnlyTheTargetsThatItNames() {
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, work(3, 900)), 0);
		LoadUpdate partial = new LoadUpdate("two", "z", 2, 2, false, true, 1_000,
				List.of(new WorkAtTarget(TargetIncarnation.of("u"), 1, 70, 0, 0, false, 0, false)), List.of(),
				BackpressureUpdate.NONE, List.of());
		this.gossip.handleUpdate("10.0.0.2:7200", partial, 10);
		assertThat(this.gossip.workOfOthers(TargetIncarnation.of("t")).get().reservedTokens()).isEqualTo(900);
		assertThat(this.gossip.workOfOthers(TargetIncarnation.of("u")).get().reservedTokens()).isEqualTo(70);
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 3, work(1, 40)), 20);
		assertThat(this.gossip.workOfOthers(TargetIncarnation.of("t")).get().reservedTokens()).isEqualTo(40);
		assertThat(this.gossip.workOfOthers(TargetIncarnation.of("u")).get().reservedTokens()).isEqualTo(0);
	}

	@Test
	void peerWithLongerUpdateIntervalIsRemovedLater() {
		this.gossip.start(0);
		this.gossip.handleUpdate("10.0.0.3:7200", distant("three", 3), 0);
		this.timers.run(9_000);
		assertThat(this.gossip.peerCount()).isEqualTo(1);
		this.timers.run(10_000);
		assertThat(this.gossip.peerCount()).isEqualTo(0);
	}

	@Test
	void sendsNoUpdateAfterShutdown() {
		this.gossip.start(0);
		this.gossip.handleUpdate("10.0.0.2:7200", update("two", 2, 1, work(1, 1)), 100);
		this.gossip.shutDown(200);
		assertThat(this.lastUpdate.shuttingDown()).isTrue();
		this.receivers.clear();
		this.gossip.workChanged(TargetIncarnation.of("t"), UpdateScope.INVOLVED, 210);
		this.timers.run(10_000);
		assertThat(this.receivers).isEmpty();
	}

	private static String targetRanking(String higher, String lower) {
		for (int i = 0;; i++) {
			long key = Rendezvous.hash("t" + i);
			if (Long.compareUnsigned(Rendezvous.weight(key, higher), Rendezvous.weight(key, lower)) > 0) {
				return "t" + i;
			}
		}
	}

	private static WorkAtTarget work(int requests, long tokens) {
		return new WorkAtTarget(TargetIncarnation.of("t"), requests, tokens, 0, 0, false, 0, false);
	}

	private static WorkAtTarget moving(String target, int toMove, boolean copying) {
		return new WorkAtTarget(TargetIncarnation.of(target), 1, 1, 0, toMove, copying, 0, false);
	}

	@Test
	void sumsDemandByDataCentre() {
		ServiceDemand demand = new ServiceDemand("s", 2, 600, 1, 300, List.of(new AccountUsage("a", 900, 600)));
		this.gossip.handleUpdate("10.0.0.2:7200", demandUpdate("two", "z", demand), 0);
		this.gossip.handleUpdate("10.0.0.3:7200", demandUpdate("three", "elsewhere", demand), 0);
		assertThat(this.gossip.demandNearby("s")).isEqualTo(demand);
		assertThat(this.gossip.demandOfOthers("s"))
			.isEqualTo(new ServiceDemand("s", 4, 1_200, 2, 600, List.of(new AccountUsage("a", 1_800, 1_200))));
		assertThat(this.gossip.demandOfOthers("t")).isEqualTo(ServiceDemand.none("t"));
	}

	private LoadUpdate demandUpdate(String name, String dataCentre, ServiceDemand demand) {
		return new LoadUpdate(name, dataCentre, name.hashCode(), 1, false, false, 1_000, List.of(), List.of(),
				this.signals, List.of(demand), List.of());
	}

	private static LoadUpdate update(String name, long incarnation, long sequence, WorkAtTarget work) {
		return new LoadUpdate(name, "z", incarnation, sequence, false, false, 1_000, List.of(work), List.of(),
				BackpressureUpdate.NONE, List.of());
	}

	private static LoadUpdate distant(String name, long incarnation, WorkAtTarget... work) {
		return new LoadUpdate(name, "elsewhere", incarnation, 1, false, false, 3_000, List.of(work), List.of(),
				BackpressureUpdate.NONE, List.of());
	}

	private final class Outputs implements GossipOutputs {

		@Override
		public void send(String address, LoadUpdate update) {
			GossipTests.this.receivers.add(address);
			GossipTests.this.lastUpdate = update;
		}

		@Override
		public void targetDraining(TargetIncarnation target) {
			GossipTests.this.draining.add(target.id());
		}

		@Override
		public void signalsReceived(BackpressureUpdate update) {
			GossipTests.this.receivedSignals.add(update);
		}

		@Override
		public BackpressureUpdate signals() {
			return GossipTests.this.signals;
		}

		@Override
		public List<WorkAtTarget> localWork() {
			return GossipTests.this.ownWork;
		}

		@Override
		public List<RetryBudgetUsage> ownBudgetUsage() {
			return List.of();
		}

		@Override
		public List<ServiceDemand> localDemand() {
			return List.of();
		}

	}

}
