package dev.laneworks.wire;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.IntStream;

import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.gossip.AccountUsage;
import dev.laneworks.core.gossip.BackpressureUpdate;
import dev.laneworks.core.gossip.LoadUpdate;
import dev.laneworks.core.gossip.RateLimitUpdate;
import dev.laneworks.core.gossip.RetryBudgetUsage;
import dev.laneworks.core.gossip.ServiceDemand;
import dev.laneworks.core.gossip.WorkAtTarget;
import org.junit.jupiter.api.TestReporter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Measures what the usage by account adds to the load updates that an entry sends. Guards
 * against traffic that takes a large part of a link of 7 Mbit/s.
 */
class AccountUsageTrafficTests {

	/** The most updates per second between heartbeats; each goes to 8 entries. */
	private static final int CHANGES_PER_SECOND = 40;

	private static final int FAN_OUT = 8;

	@ParameterizedTest
	@CsvSource({ "30, 8", "100, 8", "300, 8", "30, 24", "100, 24", "300, 24", "300, 32" })
	void usageByAccountIsABoundedPartOfTheTraffic(int entries, int accounts, TestReporter reporter) {
		long without = bytesPerSecond(entries, 0);
		long with = bytesPerSecond(entries, accounts);
		reporter.publishEntry(Map.of("entries", "" + entries, "accounts", "" + accounts, "bytesWithout", "" + without,
				"bytesWith", "" + with));
		assertThat(with - without).isLessThan(7_000_000 / 8 / 2);
		assertThat(with - without).isAtMost(30L * accounts * datagramsPerSecond(entries));
	}

	private static long bytesPerSecond(int entries, int accounts) {
		long partial = EntryDatagramCodec.encode(update(3, accounts)).length;
		long complete = EntryDatagramCodec.encode(update(8, accounts)).length;
		return CHANGES_PER_SECOND * FAN_OUT * partial + heartbeatsPerSecond(entries) * complete;
	}

	private static long datagramsPerSecond(int entries) {
		return CHANGES_PER_SECOND * FAN_OUT + heartbeatsPerSecond(entries);
	}

	// One to each entry of the own of three data centres, and every third second one to
	// each other entry.
	private static long heartbeatsPerSecond(int entries) {
		return entries / 3 - 1 + entries * 2 / 9;
	}

	private static LoadUpdate update(int targets, int accounts) {
		List<WorkAtTarget> work = IntStream.range(0, targets)
			.mapToObj((i) -> new WorkAtTarget(incarnation(i), 4, 14_000, 3_000, 0, false, 0, false))
			.toList();
		List<AccountUsage> usage = IntStream.range(0, accounts)
			.mapToObj((i) -> new AccountUsage("account-" + (10 + i), 3_500, 7_000))
			.toList();
		ServiceDemand demand = new ServiceDemand("chat-large", 10, 35_000, 3, 10_000, usage);
		return new LoadUpdate("entry-17", "zone-1", 7_000_000_000_000_000_000L, 123_456, false, targets < 8, 1_000,
				work, List.of(new RetryBudgetUsage("chat-large", 30, 2), new RetryBudgetUsage("plain", 100, 5)),
				new BackpressureUpdate(List.of(new RateLimitUpdate(incarnation(0), OptionalDouble.of(3), 40)),
						List.of()),
				List.of(demand),
				(targets < 8) ? List.of() : IntStream.range(0, 6).mapToObj((i) -> "10.0.0.1" + i + ":7200").toList());
	}

	private static TargetIncarnation incarnation(int target) {
		return TargetIncarnation.of("engine-" + (10 + target), 1_700_000_000_000L);
	}

}
