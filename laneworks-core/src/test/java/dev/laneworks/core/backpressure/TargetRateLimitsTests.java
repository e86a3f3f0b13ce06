package dev.laneworks.core.backpressure;

import java.util.OptionalDouble;

import com.google.common.collect.Range;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.gossip.RateLimitUpdate;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link TargetRateLimits} of a single entry.
 */
class TargetRateLimitsTests {

	private final ListedTarget target = new ListedTarget("t", "s", "10.0.0.1", 80, "dc", 6, false);

	private double share = 0.25;

	private double phase;

	private final TargetRateLimits limits = new TargetRateLimits((s, t) -> this.share, (t) -> this.phase);

	@Test
	void targetWithoutLimitReceivesAllRequests() {
		assertThat(sentIn(0, 1_000, 1)).isEqualTo(1_000);
		report(3, 1_000);
		report(OptionalDouble.empty(), 1_001, 1_001);
		assertThat(sentIn(1_001, 2_001, 1)).isEqualTo(1_000);
	}

	@Test
	void entrySendsItsShareUnderLoad() {
		report(20, 0);
		assertThat(sentIn(0, 60_000, 10)).isIn(Range.closed(280, 300));
	}

	// The target tolerates 1.5 times its limit plus five requests within four seconds.
	@Test
	void unusedPermitsStayWithinTheBurst() {
		for (double limit : new double[] { 0.2, 3, 30 }) {
			this.share = 1;
			report(limit, 0);
			sentIn(0, 1, 1);
			assertThat((double) sentIn(120_000, 124_000, 1)).isAtMost(1.5 * 4 * limit + 5);
			report(OptionalDouble.empty(), 130_000, 130_000);
		}
	}

	@Test
	void entriesWithSmallSharesGetPermitsAtDifferentTimes() {
		this.share = 0.01;
		int all = 0;
		for (int i = 0; i < 100; i++) {
			this.phase = i / 100.0;
			TargetRateLimits one = new TargetRateLimits((s, t) -> this.share, (t) -> this.phase);
			one.recordReported(this.target, OptionalDouble.of(3), 0, 0);
			all += sentIn(one, 0, 4_000, 10);
		}
		assertThat(all).isIn(Range.closed(11, 13));
	}

	@Test
	void requestsBeyondTheShareAreDeductedFromLaterPermits() {
		report(4, 0);
		for (int i = 0; i < 3; i++) {
			this.limits.recordSent(this.target, 0);
		}
		assertThat(sentIn(0, 3_000, 10)).isEqualTo(0);
		assertThat(sentIn(3_000, 8_000, 10)).isAtLeast(3);
	}

	@Test
	void responseToAnEarlierRequestDoesNotLiftTheLimit() {
		report(3, 1_000);
		report(OptionalDouble.empty(), 999, 1_500);
		assertThat(this.limits.count()).isEqualTo(1);
		report(OptionalDouble.empty(), 1_000, 1_501);
		assertThat(this.limits.count()).isEqualTo(0);
	}

	@Test
	void latestLimitAppliesAndIsNotReplacedByItsOwnEcho() {
		report(3, 1_000);
		assertThat(this.limits.recordGossiped(update(OptionalDouble.of(9), 700), 1_600)).isFalse();
		assertThat(this.limits.recordGossiped(update(OptionalDouble.of(9), 600), 1_640)).isFalse();
		assertThat(this.limits.recordGossiped(update(OptionalDouble.of(9), 100), 1_600)).isTrue();
		assertThat(this.limits.updates(1_600)).containsExactly(update(OptionalDouble.of(9), 100));
		assertThat(this.limits.recordGossiped(update(OptionalDouble.empty(), 0), 1_700)).isTrue();
		assertThat(this.limits.waitMillis(this.target, 1_700)).isEqualTo(0);
	}

	@Test
	void liftedLimitIsAnnouncedForAWhile() {
		assertThat(this.limits.recordReported(this.target, OptionalDouble.of(3), 0, 0)).isTrue();
		assertThat(this.limits.recordReported(this.target, OptionalDouble.of(3), 10, 10)).isFalse();
		assertThat(this.limits.recordReported(this.target, OptionalDouble.of(4), 20, 20)).isTrue();
		assertThat(this.limits.recordReported(this.target, OptionalDouble.empty(), 2_000, 2_000)).isTrue();
		assertThat(this.limits.updates(12_000)).containsExactly(update(OptionalDouble.empty(), 10_000));
		assertThat(this.limits.updates(12_001)).isEmpty();
	}

	@Test
	void liftedLimitIsRemovedDespiteFurtherResponses() {
		report(3, 0);
		for (long now = 1_000; now <= 30_000; now += 100) {
			report(OptionalDouble.empty(), now, now);
		}
		assertThat(this.limits.updates(30_000)).isEmpty();
		assertThat(this.limits.isEmpty()).isTrue();
	}

	@Test
	void targetWithZeroLimitReceivesOccasionalRequests() {
		this.share = 1;
		report(0, 0);
		int sent = sentIn(0, 100_000, 10);
		assertThat(sent).isIn(Range.closed(8, 11));
	}

	@Test
	void invalidLimitFromOthersIsIgnored() {
		for (double invalid : new double[] { -1, Double.NaN, Double.POSITIVE_INFINITY, 1e9 }) {
			assertThat(TargetRateLimits.isValid(invalid)).isFalse();
			assertThat(this.limits.recordGossiped(update(OptionalDouble.of(invalid), 0), 100)).isFalse();
		}
		assertThat(this.limits.count()).isEqualTo(0);
	}

	@Test
	void waitingTimeIsBoundedByTheNextPermitOfAnyEntry() {
		this.share = 0.001;
		report(2, 0);
		assertThat(this.limits.waitMillis(this.target, 0)).isEqualTo(527);
	}

	@Test
	void limitSurvivesABriefAbsenceOfTheTarget() {
		this.share = 0.001;
		report(2, 0);
		this.limits.recordUnlisted(this.target.incarnation(), 1_000);
		assertThat(this.limits.updates(1_000)).isEmpty();
		assertThat(this.limits.waitMillis(this.target, 61_000)).isGreaterThan(0L);
		this.limits.updates(61_001);
		assertThat(this.limits.isEmpty()).isTrue();
	}

	@Test
	void updateContainsTheMostRecentLimits() {
		for (int i = 0; i < 100; i++) {
			this.limits
				.recordGossiped(new RateLimitUpdate(TargetIncarnation.of("t" + i), OptionalDouble.of(1), 100 - i), 100);
		}
		assertThat(this.limits.updates(100)).hasSize(64);
		assertThat(this.limits.updates(100).get(0).target()).isEqualTo(TargetIncarnation.of("t99"));
	}

	private void report(double perSecond, long now) {
		report(OptionalDouble.of(perSecond), now, now);
	}

	private void report(OptionalDouble perSecond, long requestSentAt, long now) {
		this.limits.recordReported(this.target, perSecond, requestSentAt, now);
	}

	private RateLimitUpdate update(OptionalDouble perSecond, long ageMillis) {
		return new RateLimitUpdate(this.target.incarnation(), perSecond, ageMillis);
	}

	private int sentIn(long from, long to, long step) {
		return sentIn(this.limits, from, to, step);
	}

	// Counts the requests that are sent if one arrives at each step.
	private int sentIn(TargetRateLimits limitsToUse, long from, long to, long step) {
		int sent = 0;
		for (long now = from; now < to; now += step) {
			if (limitsToUse.waitMillis(this.target, now) <= 0) {
				limitsToUse.recordSent(this.target, now);
				sent++;
			}
		}
		return sent;
	}

}
