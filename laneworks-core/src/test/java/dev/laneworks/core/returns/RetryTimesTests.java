package dev.laneworks.core.returns;

import java.util.List;

import dev.laneworks.core.gossip.ServiceDemand;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RetryTimes}.
 */
class RetryTimesTests {

	private static final String SERVICE = "s";

	private final RetryTimes times = new RetryTimes();

	/** Guards against a time that was given to one caller being given to the next. */
	@Test
	void timesFollowQueuedAndReturningGenerationsOfAllEntries() {
		RefusedCaller caller = new RefusedCaller(SERVICE, 2, 3_000, 39_000);
		assertThat(this.times.schedule(caller, outlook(10, 0, 0), 0)).isEqualTo(new RetryTime(600, true));
		assertThat(this.times.schedule(caller, outlook(10, 0, 0), 0)).isEqualTo(new RetryTime(1_200, true));
		assertThat(this.times.schedule(caller, outlook(10, 6_000, 9_000), 0)).isEqualTo(new RetryTime(4_800, true));
		assertThat(this.times.returningRequests(SERVICE, 0)).isEqualTo(3);
		assertThat(this.times.returningTokens(SERVICE, 1_000)).isEqualTo(6_000);
		assertThat(this.times.returningRequests("other", 0)).isEqualTo(0);
	}

	/** Guards against urgent callers that wait for less urgent ones. */
	@Test
	void lessUrgentCallersDoNotGoFirst() {
		this.times.schedule(new RefusedCaller(SERVICE, 2, 3_000, 39_000), outlook(10, 0, 0), 0);
		RetryTime urgent = this.times.schedule(new RefusedCaller(SERVICE, 0, 2_000, 6_000), outlook(10, 0, 8_000), 0);
		assertThat(urgent).isEqualTo(new RetryTime(400, true));
	}

	/**
	 * Guards against a time that the caller does not honour being reported to other
	 * entries, and against a time that is shortened to hide the shortage.
	 */
	@Test
	void tooLateTimeIsReturnedTrulyAndNotReported() {
		RetryTime late = this.times.schedule(new RefusedCaller(SERVICE, 0, 2_000, 6_000), outlook(0.5, 0, 0), 0);
		assertThat(late).isEqualTo(new RetryTime(4_000, false));
		assertThat(late.detail()).contains("none is expected to be free");
		assertThat(this.times.returningRequests(SERVICE, 0)).isEqualTo(0);
	}

	/** Guards against an entry without any knowledge of the release of memory. */
	@Test
	void unknownReleaseGivesTheLongestTime() {
		assertThat(this.times.schedule(new RefusedCaller(SERVICE, 0, 2_000, 6_000), outlook(0, 0, 0), 0))
			.isEqualTo(new RetryTime(RetryTimes.MAX_MILLIS, false));
	}

	/**
	 * Guards against times that passed during a pause of the process blocking new ones.
	 */
	@Test
	void timesThatPassedDuringAPauseNoLongerCount() {
		RefusedCaller caller = new RefusedCaller(SERVICE, 2, 3_000, 39_000);
		for (int i = 0; i < 10; i++) {
			this.times.schedule(caller, outlook(10, 0, 0), 0);
		}
		assertThat(this.times.schedule(caller, outlook(10, 0, 0), 60_000)).isEqualTo(new RetryTime(600, true));
		assertThat(this.times.returningRequests(SERVICE, 60_000)).isEqualTo(1);
	}

	private static MemoryOutlook outlook(double perMillisecond, long queuedByOthers, long returningToOthers) {
		return new MemoryOutlook(perMillisecond, 0, 0, 0,
				new ServiceDemand(SERVICE, 0, queuedByOthers, 0, returningToOthers, List.of()), 29);
	}

}
