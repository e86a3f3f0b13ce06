package dev.laneworks.core.shares;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.laneworks.core.gossip.AccountUsage;
import dev.laneworks.core.gossip.ServiceDemand;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link AccountShares}.
 */
class AccountSharesTests {

	private static final String SERVICE = "s";

	private static final long MEMORY = 100_000;

	private final Map<String, Double> weights = new HashMap<>();

	private ServiceDemand others = ServiceDemand.none(SERVICE);

	private final AccountShares shares = new AccountShares((s) -> this.others, (a) -> this.weights.getOrDefault(a, 1.0),
			(s) -> MEMORY);

	@Test
	void hasNoEffectWhileNothingIsQueued() {
		this.shares.reservationChanged(SERVICE, "large", 90_000);
		this.shares.reservationChanged(SERVICE, "small", 1_000);
		assertThat(this.shares.of(SERVICE, "large", 0)).isEqualTo(0.0);
		assertThat(this.shares.report(SERVICE, 0)).isEmpty();
		assertThat(this.shares.addAccounts(List.of(), 0)).isEmpty();
		assertThat(this.shares.shares(32, 0)).isEmpty();
	}

	@Test
	void comparesUseOfAllEntriesWithTheShare() {
		this.shares.reservationChanged(SERVICE, "large", 30_000);
		this.others = new ServiceDemand(SERVICE, 2, 20_000, 0, 0,
				List.of(new AccountUsage("large", 30_000, 0), new AccountUsage("small", 20_000, 20_000)));
		assertThat(this.shares.of(SERVICE, "large", 0)).isWithin(1e-9).of(1.5);
		assertThat(this.shares.of(SERVICE, "small", 0)).isWithin(1e-9).of(0.5);
		assertThat(this.shares.of(SERVICE, "absent", 0)).isEqualTo(0.0);
	}

	// Guards against a large account that is held back though no other one wants more.
	@Test
	void unusedShareIsFreeAtOnce() {
		this.shares.reservationChanged(SERVICE, "large", 60_000);
		this.shares.reservationChanged(SERVICE, "small", 1_000);
		this.shares.queueChanged(SERVICE, "large", 9_000);
		assertThat(this.shares.of(SERVICE, "large", 0)).isWithin(1e-9).of(1);
		this.shares.queueChanged(SERVICE, "small", 50_000);
		assertThat(this.shares.of(SERVICE, "large", 50)).isGreaterThan(1.9);
		this.shares.queueChanged(SERVICE, "small", -50_000);
		assertThat(this.shares.of(SERVICE, "large", 100)).isWithin(1e-9).of(1);
	}

	@Test
	void ownUseCountsAtOnce() {
		this.shares.reservationChanged(SERVICE, "a", 5_000);
		this.shares.reservationChanged(SERVICE, "b", 5_000);
		this.shares.queueChanged(SERVICE, "a", 5_000);
		this.shares.queueChanged(SERVICE, "b", 5_000);
		assertThat(this.shares.of(SERVICE, "a", 0)).isWithin(1e-9).of(1);
		this.shares.reservationChanged(SERVICE, "a", 5_000);
		assertThat(this.shares.of(SERVICE, "a", 0)).isWithin(1e-9).of(2);
	}

	@Test
	void weightRaisesTheShare() {
		this.weights.put("a", 3.0);
		this.shares.reservationChanged(SERVICE, "a", 30_000);
		this.shares.reservationChanged(SERVICE, "b", 30_000);
		this.shares.queueChanged(SERVICE, "a", 30_000);
		this.shares.queueChanged(SERVICE, "b", 30_000);
		assertThat(this.shares.of(SERVICE, "a", 0)).isWithin(1e-9).of(2.0 / 3);
		assertThat(this.shares.of(SERVICE, "b", 0)).isWithin(1e-9).of(2);
	}

	// Guards against refusals of others when one account fills the queue before it uses
	// any memory.
	@Test
	void demandOfAFloodExceedsItsShareBeforeItsUseDoes() {
		this.shares.reservationChanged(SERVICE, "steady", 50_000);
		this.shares.queueChanged(SERVICE, "steady", 3_000);
		this.shares.queueChanged(SERVICE, "flood", 1_000_000);
		assertThat(this.shares.of(SERVICE, "flood", 0)).isEqualTo(0.0);
		assertThat(this.shares.ofDemand(SERVICE, "flood", 0)).isGreaterThan(30.0);
		assertThat(this.shares.ofDemand(SERVICE, "steady", 0)).isLessThan(3.0);
	}

	// Guards against an entry whose only callers are above their share and which takes
	// the
	// memory that others wait for.
	@Test
	void accountAboveItsShareLeavesMemoryToRequestsAtOtherEntries() {
		this.shares.reservationChanged(SERVICE, "large", 80_000);
		this.shares.queueChanged(SERVICE, "large", 80_000);
		this.others = new ServiceDemand(SERVICE, 1, 3_000, 0, 0, List.of(new AccountUsage("small", 1_000, 4_500)));
		assertThat(this.shares.tokensToLeaveFree(SERVICE, "large", 0)).isEqualTo(4_500);
		assertThat(this.shares.tokensToLeaveFree(SERVICE, "small", 0)).isEqualTo(0);
		this.others = new ServiceDemand(SERVICE, 9, 70_000, 0, 0, List.of(new AccountUsage("small", 1_000, 70_000)));
		assertThat(this.shares.tokensToLeaveFree(SERVICE, "large", 50)).isEqualTo(5_000);
		this.others = ServiceDemand.none(SERVICE);
		assertThat(this.shares.tokensToLeaveFree(SERVICE, "large", 100)).isEqualTo(0);
	}

	@Test
	void reportsTheLargestAccountsWhileAnyEntryQueues() {
		for (int i = 1; i <= 40; i++) {
			this.shares.reservationChanged(SERVICE, "a" + i, i);
		}
		this.others = new ServiceDemand(SERVICE, 1, 5, 0, 0, List.of());
		List<AccountUsage> report = this.shares.report(SERVICE, 0);
		assertThat(report).hasSize(32);
		assertThat(report.get(0)).isEqualTo(new AccountUsage("a40", 40, 0));
		assertThat(this.shares.addAccounts(List.of(), 0))
			.containsExactly(new ServiceDemand(SERVICE, 0, 0, 0, 0, report));
		ServiceDemand queued = new ServiceDemand(SERVICE, 1, 2, 3, 4, List.of());
		assertThat(this.shares.addAccounts(List.of(queued), 0))
			.containsExactly(new ServiceDemand(SERVICE, 1, 2, 3, 4, report));
	}

	// Guards against entries that keep each other reporting when no queue is left.
	@Test
	void stopsReportingWhenNoEntryQueues() {
		this.shares.reservationChanged(SERVICE, "a", 10);
		this.others = new ServiceDemand(SERVICE, 0, 0, 0, 0, List.of(new AccountUsage("a", 10, 0)));
		assertThat(this.shares.report(SERVICE, 0)).isEmpty();
	}

	// Guards against a report that hides an account's use or raises the share of all.
	@Test
	void falseReportHurtsOnlyTheAccountThatItNames() {
		this.shares.reservationChanged(SERVICE, "a", 40_000);
		this.shares.reservationChanged(SERVICE, "b", 20_000);
		this.shares.queueChanged(SERVICE, "b", 20_000);
		double before = this.shares.of(SERVICE, "a", 0);
		List<AccountUsage> accounts = new ArrayList<>();
		accounts.add(new AccountUsage("huge", Long.MAX_VALUE, Long.MAX_VALUE));
		accounts.add(new AccountUsage("b", Long.MIN_VALUE, -5));
		this.others = new ServiceDemand(SERVICE, 1, 1, 0, 0, accounts)
			.plus(new ServiceDemand(SERVICE, Integer.MAX_VALUE, Long.MAX_VALUE, 0, 0, accounts.subList(0, 1)));
		assertThat(before).isWithin(1e-9).of(4.0 / 3);
		assertThat(this.shares.of(SERVICE, "huge", 60)).isGreaterThan(2.0);
		assertThat(this.shares.of(SERVICE, "a", 60)).isAtMost(before);
		assertThat(this.shares.of(SERVICE, "b", 60)).isAtMost(1.0);
	}

	// Guards against an account that escapes its share because the plan lost it.
	@Test
	void accountRemovedFromThePlanCountsUntilItsMemoryIsReleased() {
		this.weights.put("removed", 2.0);
		this.shares.reservationChanged(SERVICE, "removed", 60_000);
		this.shares.reservationChanged(SERVICE, "other", 30_000);
		this.shares.queueChanged(SERVICE, "other", 30_000);
		assertThat(this.shares.of(SERVICE, "removed", 0)).isWithin(1e-9).of(1);
		this.weights.clear();
		assertThat(this.shares.of(SERVICE, "removed", 50)).isWithin(1e-9).of(60.0 / 45);
		this.shares.reservationChanged(SERVICE, "removed", -60_000);
		assertThat(this.shares.of(SERVICE, "removed", 100)).isEqualTo(0.0);
		assertThat(this.shares.report(SERVICE, 100)).containsExactly(new AccountUsage("other", 30_000, 30_000));
	}

	@Test
	void showsUseBesideShare() {
		this.shares.reservationChanged(SERVICE, "a", 30_000);
		this.shares.reservationChanged(SERVICE, "b", 10_000);
		this.shares.queueChanged(SERVICE, "b", 30_000);
		assertThat(this.shares.shares(32, 0))
			.containsExactly(new AccountShare(SERVICE, "a", 30_000, 20_000),
					new AccountShare(SERVICE, "b", 10_000, 20_000))
			.inOrder();
		assertThat(this.shares.shares(1, 0)).hasSize(1);
	}

}
