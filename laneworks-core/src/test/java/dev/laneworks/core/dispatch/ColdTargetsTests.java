package dev.laneworks.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import dev.laneworks.core.backpressure.TargetNeeds;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.routing.Rendezvous;
import dev.laneworks.core.serving.RequestKind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ColdTargets}, and of a {@link Dispatcher} that meets cold targets.
 */
class ColdTargetsTests {

	private static final ColdBound BOUND = new ColdBound(1.5, 5);

	private final ListedTarget target = new ListedTarget("i-1", "s", "10.0.0.1", 80, "dc", 6, false);

	private final List<String> lines = new ArrayList<>();

	private final ColdTargets alone = of(1, 0, 4);

	@Test
	void aWarmTargetTakesAllAndAColdOneItsPart() {
		this.alone.sent(this.target, 0);
		assertThat(this.alone.takes(this.target, 0)).isTrue();
		this.alone.told(this.target, 3_000, 0);
		// 0.7 of 4 x 1.5 + 5 for five entries at least.
		assertThat(this.alone.takes(this.target, 1)).isTrue();
		this.alone.sent(this.target, 1);
		assertThat(this.alone.takes(this.target, 2)).isFalse();
		assertThat(this.alone.freeInMillis(this.target, 2)).isEqualTo(1_199);
		assertThat(this.alone.takes(this.target, 1_201)).isTrue();
		assertThat(this.alone.count(2)).isEqualTo(1);
		assertThat(this.alone.count(3_000)).isEqualTo(0);
	}

	@Test
	void aTargetIsWarmWhenItSaysSoOrItsTimeIsOver() {
		this.alone.told(this.target, 800, 0);
		this.alone.sent(this.target, 0);
		assertThat(this.alone.freeInMillis(this.target, 100)).isEqualTo(700);
		assertThat(this.alone.takes(this.target, 800)).isTrue();
		this.alone.told(this.target, 5_000, 900);
		this.alone.sent(this.target, 900);
		assertThat(this.alone.takes(this.target, 901)).isFalse();
		this.alone.told(this.target, 0, 902);
		assertThat(this.alone.takes(this.target, 902)).isTrue();
	}

	@Test
	void whatCanNotBeTrueIsRecordedAndChangesNothing() {
		this.alone.told(this.target, -1, 0);
		this.alone.told(this.target, Long.MAX_VALUE, 0);
		assertThat(this.lines).hasSize(2);
		this.alone.sent(this.target, 0);
		assertThat(this.alone.takes(this.target, 0)).isTrue();
		this.alone.told(this.target, 5_000, 0);
		this.alone.told(this.target, -1, 1);
		this.alone.sent(this.target, 1);
		assertThat(this.alone.takes(this.target, 2)).isFalse();
	}

	@Test
	void aServiceWhoseTargetsTellNothingOfColdIsNotBounded() {
		ColdTargets unknown = of(1, 0, 0);
		unknown.told(this.target, 5_000, 0);
		for (int i = 0; i < 100; i++) {
			unknown.sent(this.target, 0);
		}
		assertThat(unknown.takes(this.target, 0)).isTrue();
	}

	@Test
	void entriesThatComeAndGoStayTogetherWithinTheBoundAndUseHalfOfIt() {
		SplittableRandom random = new SplittableRandom(7);
		for (int round = 0; round < 200; round++) {
			int entries = 1 + random.nextInt(40);
			double perSecond = random.nextDouble() * 40;
			playSecondsOf(entries, perSecond, random);
		}
	}

	// Each entry asks as often as it may; one in ten knows an entry too few or too many.
	private void playSecondsOf(int entries, double perSecond, SplittableRandom random) {
		List<ColdTargets> all = new ArrayList<>();
		long key = Rendezvous.hash(this.target.id());
		for (int i = 0; i < entries; i++) {
			String name = "e" + i;
			int before = (int) List.copyOf(names(entries))
				.stream()
				.filter((n) -> Long.compareUnsigned(Rendezvous.weight(key, n), Rendezvous.weight(key, name)) > 0)
				.count();
			int known = Math.max(1, entries + ((random.nextInt(10) == 0) ? random.nextInt(3) - 1 : 0));
			ColdTargets cold = of(known, before, perSecond);
			cold.told(this.target, 60_000, 0);
			all.add(cold);
		}
		Deque<Long> arrived = new ArrayDeque<>();
		int most = 0;
		for (long now = 0; now < 5_000; now += 20) {
			for (ColdTargets cold : all) {
				while (cold.takes(this.target, now)) {
					cold.sent(this.target, now);
					arrived.add(now + random.nextInt(150));
				}
			}
			long from = now - 1_000;
			arrived.removeIf((t) -> t <= from);
			most = Math.max(most, arrived.size());
		}
		double bound = BOUND.requests(perSecond);
		assertThat(most).isAtMost((int) bound);
		int sharing = Math.max(5, entries);
		boolean isUsable = entries >= 5;
		if (isUsable) {
			assertThat(most).isAtLeast(Math.min((int) (0.35 * bound), sharing));
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
	void whatAColdTargetDoesNotTakeGoesElsewhereAndIsRefusedWithATrueTimeWhereThereIsNone() {
		DispatchHarness harness = DispatchHarness.create();
		harness.coldPerSecond = 4;
		harness.directory.put(cold("i-1", 3_000));
		harness.open(1, RequestKind.SAFE, 2);
		assertThat(harness.arrive().target().id()).isEqualTo("i-1");
		harness.passTime(200);
		harness.open(2, RequestKind.SAFE, 2);
		assertThat(harness.refusals.get(2L).retryAfter()).hasValue(Duration.ofMillis(1_000));
		harness.join(DispatchHarness.PLAIN, "i-2");
		harness.open(3, RequestKind.SAFE, 2);
		assertThat(harness.arrive().target().id()).isEqualTo("i-2");
		harness.passTime(1_000);
		assertThat(harness.eligibility.takesWork(harness.sent.get(0).target(), harness.now)).isTrue();
	}

	@Test
	void aTargetThatTellsInAnAnswerThatItIsColdIsBounded() {
		DispatchHarness harness = DispatchHarness.create();
		harness.coldPerSecond = 4;
		ListedTarget plain = harness.join(DispatchHarness.PLAIN, "i-1");
		harness.open(1, RequestKind.SAFE, 2);
		DispatchHarness.Sent first = harness.arrive();
		harness.dispatcher.headReceived(1, first.attempt(), new AnswerHead(200, "request-1", true, false, false, false,
				java.util.Optional.empty(), OptionalLong.of(2_000), TargetNeeds.NONE), harness.now);
		harness.open(2, RequestKind.SAFE, 2);
		assertThat(harness.eligibility.takesWork(plain, harness.now)).isFalse();
	}

	private static ListedTarget cold(String id, long millis) {
		return new ListedTarget(id, DispatchHarness.PLAIN, "10.0.9.1", 80, "dc", 6, false, OptionalLong.of(millis));
	}

	private ColdTargets of(int entries, int before, double perSecond) {
		return new ColdTargets(BOUND, new Ranks(entries, before), (s) -> perSecond, (e) -> this.lines.add(e.cause()));
	}

	private record Ranks(int entries, int rank) implements EntryRanks {

		@Override
		public int before(String target) {
			return this.rank;
		}

	}

}
