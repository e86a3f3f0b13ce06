package dev.laneworks.core.shares;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.gossip.AccountUsage;
import dev.laneworks.core.gossip.BackpressureUpdate;
import dev.laneworks.core.gossip.Gossip;
import dev.laneworks.core.gossip.GossipOutputs;
import dev.laneworks.core.gossip.GossipSettings;
import dev.laneworks.core.gossip.LoadUpdate;
import dev.laneworks.core.gossip.RetryBudgetUsage;
import dev.laneworks.core.gossip.ServiceDemand;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.time.Timers;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link AccountShares} with the reports that {@link Gossip} keeps, in virtual
 * time.
 */
class AccountSharesGossipTests {

	private static final String SERVICE = "s";

	private static final String PEER = "10.0.0.2:7200";

	private final Timers timers = new Timers();

	private final Gossip gossip = new Gossip(GossipSettings.defaults(), "me", "z", "10.0.0.1:7200", Set.of(),
			new Outputs(), this.timers, new SplittableRandom(1), (e) -> {
			});

	private final AccountShares shares = new AccountShares(this.gossip::demandOfOthers, (a) -> 1, (s) -> 1_000_000);

	private LoadUpdate sent;

	private long now;

	// Guards against shares from an incomplete sum that last longer than the first
	// report.
	@Test
	void entryThatHasJustStartedCountsItsOwnUseUntilTheFirstReport() {
		startWithOwnUse();
		assertThat(overuse("small")).isWithin(1e-9).of(1);
		receive(1, false, 90_000);
		passTime(50);
		assertThat(overuse("large")).isGreaterThan(1.5);
		assertThat(overuse("small")).isLessThan(0.5);
		assertThat(this.sent.demand().get(0).accounts()).containsExactly(new AccountUsage("small", 10_000, 100_000),
				new AccountUsage("large", 10_000, 100_000));
	}

	// Guards against old reports that decide at an entry which no longer hears of
	// changes.
	@Test
	void entryThatIsCutOffReturnsToItsOwnUse() {
		startWithOwnUse();
		receive(1, false, 90_000);
		passTime(3_000);
		assertThat(overuse("large")).isGreaterThan(1.5);
		passTime(1_300);
		assertThat(this.gossip.peerCount()).isEqualTo(0);
		assertThat(overuse("large")).isWithin(1e-9).of(1);
	}

	// Guards against memory that a departed entry no longer uses.
	@Test
	void reportOfAnEntryThatLeftIsRemoved() {
		startWithOwnUse();
		receive(1, false, 90_000);
		passTime(50);
		assertThat(overuse("large")).isGreaterThan(1.5);
		receive(2, true, 90_000);
		passTime(50);
		assertThat(overuse("large")).isWithin(1e-9).of(1);
	}

	// Guards against a restarted entry whose use counts twice.
	@Test
	void reportOfARestartedEntryReplacesTheFormerOne() {
		startWithOwnUse();
		receive(1, false, 90_000);
		this.gossip.handleUpdate(PEER, update(99, 1, false, 0), this.now);
		passTime(50);
		assertThat(overuse("large")).isWithin(1e-9).of(1);
	}

	private void startWithOwnUse() {
		this.gossip.start(0);
		for (String account : List.of("large", "small")) {
			this.shares.reservationChanged(SERVICE, account, 10_000);
			this.shares.queueChanged(SERVICE, account, 100_000);
		}
	}

	private double overuse(String account) {
		return this.shares.of(SERVICE, account, this.now);
	}

	private void receive(long sequence, boolean shuttingDown, long largeTokens) {
		this.gossip.handleUpdate(PEER, update(7, sequence, shuttingDown, largeTokens), this.now);
	}

	private static LoadUpdate update(long incarnation, long sequence, boolean shuttingDown, long largeTokens) {
		ServiceDemand demand = new ServiceDemand(SERVICE, 1, 3_000, 0, 0,
				List.of(new AccountUsage("large", largeTokens, 0)));
		return new LoadUpdate("two", "z", incarnation, sequence, shuttingDown, false, 1_000, List.of(), List.of(),
				BackpressureUpdate.NONE, List.of(demand), List.of());
	}

	private void passTime(long millis) {
		this.now += millis;
		this.timers.run(this.now);
	}

	private final class Outputs implements GossipOutputs {

		@Override
		public void send(String address, LoadUpdate update) {
			AccountSharesGossipTests.this.sent = update;
		}

		@Override
		public void targetDraining(TargetIncarnation target) {
			// No target is named in these updates.
		}

		@Override
		public void signalsReceived(BackpressureUpdate signals) {
			// These updates carry no signals.
		}

		@Override
		public BackpressureUpdate signals() {
			return BackpressureUpdate.NONE;
		}

		@Override
		public List<WorkAtTarget> localWork() {
			return List.of();
		}

		@Override
		public List<RetryBudgetUsage> ownBudgetUsage() {
			return List.of();
		}

		@Override
		public List<ServiceDemand> localDemand() {
			ServiceDemand queued = new ServiceDemand(SERVICE, 2, 200_000, 0, 0, List.of());
			return AccountSharesGossipTests.this.shares.addAccounts(List.of(queued), AccountSharesGossipTests.this.now);
		}

	}

}
