package dev.laneworks.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import dev.laneworks.core.backpressure.BackpressureSignals;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.routing.Rendezvous;
import dev.laneworks.core.serving.RequestKind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ColdTargets}, and for a {@link Dispatcher} with cold targets.
 */
class ColdTargetsTests {

	private static final ColdRateLimit BOUND = new ColdRateLimit(1.5, 5);

	private final ListedTarget target = new ListedTarget("i-1", "s", "10.0.0.1", 80, "dc", 6, false);

	private final List<String> causes = new ArrayList<>();

	private final ColdTargets singleEntry = of(1, 0, 4);

	@Test
	void limitsOnlyColdTargets() {
		this.singleEntry.recordSent(this.target, 0);
		assertThat(this.singleEntry.accepts(this.target, 0)).isTrue();
		this.singleEntry.recordCold(this.target, 3_000, 0);
		// The share of one entry among at least five: 0.7 * (4 * 1.5 + 5) / 5.
		assertThat(this.singleEntry.accepts(this.target, 1)).isTrue();
		this.singleEntry.recordSent(this.target, 1);
		assertThat(this.singleEntry.accepts(this.target, 2)).isFalse();
		assertThat(this.singleEntry.waitMillis(this.target, 2)).isEqualTo(1_199);
		assertThat(this.singleEntry.accepts(this.target, 1_201)).isTrue();
		assertThat(this.singleEntry.count(2)).isEqualTo(1);
		assertThat(this.singleEntry.count(3_000)).isEqualTo(0);
	}

	@Test
	void removesLimitWhenTargetIsWarmOrColdTimeExpires() {
		this.singleEntry.recordCold(this.target, 800, 0);
		this.singleEntry.recordSent(this.target, 0);
		assertThat(this.singleEntry.waitMillis(this.target, 100)).isEqualTo(700);
		assertThat(this.singleEntry.accepts(this.target, 800)).isTrue();
		this.singleEntry.recordCold(this.target, 5_000, 900);
		this.singleEntry.recordSent(this.target, 900);
		assertThat(this.singleEntry.accepts(this.target, 901)).isFalse();
		this.singleEntry.recordCold(this.target, 0, 902);
		assertThat(this.singleEntry.accepts(this.target, 902)).isTrue();
	}

	@Test
	void recordsAndIgnoresInvalidColdTimes() {
		this.singleEntry.recordCold(this.target, -1, 0);
		this.singleEntry.recordCold(this.target, Long.MAX_VALUE, 0);
		assertThat(this.causes).hasSize(2);
		this.singleEntry.recordSent(this.target, 0);
		assertThat(this.singleEntry.accepts(this.target, 0)).isTrue();
		this.singleEntry.recordCold(this.target, 5_000, 0);
		this.singleEntry.recordCold(this.target, -1, 1);
		this.singleEntry.recordSent(this.target, 1);
		assertThat(this.singleEntry.accepts(this.target, 2)).isFalse();
	}

	@Test
	void doesNotLimitServiceWithUnknownColdRate() {
		ColdTargets unknown = of(1, 0, 0);
		unknown.recordCold(this.target, 5_000, 0);
		for (int i = 0; i < 100; i++) {
			unknown.recordSent(this.target, 0);
		}
		assertThat(unknown.accepts(this.target, 0)).isTrue();
	}

	@Test
	void entriesTogetherStayWithinLimitAndUsePartOfIt() {
		SplittableRandom random = new SplittableRandom(7);
		for (int round = 0; round < 200; round++) {
			int entries = 1 + random.nextInt(40);
			double perSecond = random.nextDouble() * 40;
			simulate(entries, perSecond, random);
		}
	}

	// Each entry sends as often as it may; one in ten sees an entry too few or too many.
	private void simulate(int entries, double perSecond, SplittableRandom random) {
		List<ColdTargets> all = new ArrayList<>();
		long key = Rendezvous.hash(this.target.id());
		for (int i = 0; i < entries; i++) {
			String name = "e" + i;
			int before = (int) List.copyOf(names(entries))
				.stream()
				.filter((n) -> Long.compareUnsigned(Rendezvous.weight(key, n), Rendezvous.weight(key, name)) > 0)
				.count();
			int visible = Math.max(1, entries + ((random.nextInt(10) == 0) ? random.nextInt(3) - 1 : 0));
			ColdTargets cold = of(visible, before, perSecond);
			cold.recordCold(this.target, 60_000, 0);
			all.add(cold);
		}
		Deque<Long> arrived = new ArrayDeque<>();
		int maxArrivals = 0;
		for (long now = 0; now < 5_000; now += 20) {
			for (ColdTargets cold : all) {
				while (cold.accepts(this.target, now)) {
					cold.recordSent(this.target, now);
					arrived.add(now + random.nextInt(150));
				}
			}
			long from = now - 1_000;
			arrived.removeIf((t) -> t <= from);
			maxArrivals = Math.max(maxArrivals, arrived.size());
		}
		double bound = BOUND.requests(perSecond);
		assertThat(maxArrivals).isAtMost((int) bound);
		int sharing = Math.max(5, entries);
		boolean hasMinEntries = entries >= 5;
		if (hasMinEntries) {
			assertThat(maxArrivals).isAtLeast(Math.min((int) (0.35 * bound), sharing));
		}
	}

	private static List<String> names(int count) {
		List<String> names = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			names.add("e" + i);
		}
		return names;
	}

	@Test
	void sendsExcessElsewhereOrRefusesItWithRetryDelay() {
		DispatchHarness harness = DispatchHarness.create();
		harness.coldPerSecond = 4;
		harness.directory.put(cold("i-1", 3_000));
		harness.open(1, RequestKind.SAFE, 2);
		assertThat(harness.sendLast().target().id()).isEqualTo("i-1");
		harness.passTime(200);
		harness.open(2, RequestKind.SAFE, 2);
		assertThat(harness.refusals.get(2L).retryAfter()).hasValue(Duration.ofMillis(1_000));
		harness.join(DispatchHarness.PLAIN, "i-2");
		harness.open(3, RequestKind.SAFE, 2);
		assertThat(harness.sendLast().target().id()).isEqualTo("i-2");
		harness.passTime(1_000);
		assertThat(harness.eligibility.acceptsWork(harness.sent.get(0).target(), harness.now)).isTrue();
	}

	@Test
	void limitsTargetThatReportsColdTimeInAnswer() {
		DispatchHarness harness = DispatchHarness.create();
		harness.coldPerSecond = 4;
		ListedTarget plain = harness.join(DispatchHarness.PLAIN, "i-1");
		harness.open(1, RequestKind.SAFE, 2);
		DispatchHarness.Sent first = harness.sendLast();
		harness.dispatcher.headReceived(1, first.attempt(), new AnswerHead(200, "request-1", true, false, false, false,
				java.util.Optional.empty(), OptionalLong.of(2_000), BackpressureSignals.NONE), harness.now);
		harness.open(2, RequestKind.SAFE, 2);
		assertThat(harness.eligibility.acceptsWork(plain, harness.now)).isFalse();
	}

	private static ListedTarget cold(String id, long millis) {
		return new ListedTarget(id, DispatchHarness.PLAIN, "10.0.9.1", 80, "dc", 6, false, OptionalLong.of(millis));
	}

	private ColdTargets of(int entries, int before, double perSecond) {
		return new ColdTargets(BOUND, new FixedRanks(entries, before), (s) -> perSecond,
				(e) -> this.causes.add(e.cause()));
	}

	private record FixedRanks(int entries, int rank) implements EntryRanks {

		@Override
		public int rankFor(String target) {
			return this.rank;
		}

	}

}
