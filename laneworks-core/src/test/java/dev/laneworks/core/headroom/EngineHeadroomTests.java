package dev.laneworks.core.headroom;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EngineHeadroom}.
 */
class EngineHeadroomTests {

	private static final String SERVICE = FixedFleet.SERVICE;

	private static final int LONG = 2;

	private static final double ONE_URGENT = UrgentDemand.INITIAL_TOKENS / FixedFleet.MEMORY;

	private final FixedFleet fleet = new FixedFleet();

	private final EngineHeadroom headroom = new EngineHeadroom(this.fleet);

	/**
	 * Guards against a new entry that starts nothing, or that leaves no room for one
	 * urgent generation, because it knows nothing.
	 */
	@Test
	void newEntryKeepsRoomForOneUrgentGeneration() {
		assertThat(this.headroom.maxUtilization(SERVICE, LONG, 0)).isWithin(1e-9).of(0.97 - ONE_URGENT);
		assertThat(this.headroom.maxUtilization(SERVICE, 0, 0)).isEqualTo(0.97);
		assertThat(this.headroom.displacedShare(SERVICE, 0)).isEqualTo(0);
	}

	/** Guards against moves of reclaimed engines that find no memory. */
	@Test
	void enginesReclaimedTogetherCountAsOneShareOfThoseThatStay() {
		leaveAt(1_000, 5, 0.9);
		assertThat(this.headroom.displacedShare(SERVICE, 2_000)).isWithin(1e-9).of(5 * 0.9 / 24);
		assertThat(this.headroom.maxUtilization(SERVICE, LONG, 2_000)).isWithin(1e-9).of(0.97 - 5 * 0.9 / 24);
		assertThat(this.headroom.maxUtilization(SERVICE, 0, 2_000)).isEqualTo(0.97);
	}

	/** Guards against one loss being counted again when the drained engine is removed. */
	@Test
	void removalAfterDrainingIsNotCountedAgain() {
		leaveAt(1_000, 5, 0.9);
		leaveAt(1_900, 5, 0.9);
		assertThat(this.headroom.displacedShare(SERVICE, 2_000)).isWithin(1e-9).of(5 * 0.9 / 24);
	}

	/** Guards against separate reclaims being added up. */
	@Test
	void largestOfSeparateReclaimsCountsUntilItIsForgotten() {
		leave("a", 1_000, 0.96);
		leave("b", 4_300, 0.48);
		assertThat(this.headroom.displacedShare(SERVICE, 16_000)).isWithin(1e-9).of(0.04);
		assertThat(this.headroom.displacedShare(SERVICE, 16_001)).isWithin(1e-9).of(0.02);
		assertThat(this.headroom.displacedShare(SERVICE, 19_301)).isEqualTo(0);
	}

	/** Guards against an entry that starts nothing after most engines were lost. */
	@Test
	void shareAndLimitAreBounded() {
		this.fleet.engines = 0;
		leaveAt(1_000, 20, 1);
		assertThat(this.headroom.displacedShare(SERVICE, 1_000)).isEqualTo(0.35);
		assertThat(this.headroom.maxUtilization(SERVICE, LONG, 1_000)).isWithin(1e-9).of(0.62);
		this.headroom.recordArrival(SERVICE, 0, 200_000, 1_000);
		assertThat(this.headroom.maxUtilization(SERVICE, LONG, 1_000)).isEqualTo(0.5);
	}

	/**
	 * Guards against reclaims of a whole pause being taken for one large reclaim once the
	 * process runs again.
	 */
	@Test
	void departuresReportedTogetherAfterAPauseAreNotAddedUp() {
		leave("before", 1_000, 0.24);
		this.headroom.recordPause(9_000, 10_000);
		leaveAt(10_000, 15, 0.48);
		assertThat(this.headroom.displacedShare(SERVICE, 10_100)).isWithin(1e-9).of(0.02);
		leave("x", 12_000, 0.48);
		leave("y", 12_100, 0.48);
		assertThat(this.headroom.displacedShare(SERVICE, 12_100)).isWithin(1e-9).of(0.04);
	}

	/** Guards against a reserve for urgent generations that ignores their demand. */
	@Test
	void urgentReserveFollowsTheDemandOfAllEntries() {
		long now = arrive(0, 60_000, 18.2 / 29, 2_550, 450);
		double concurrent = 18.2 * 0.45 / 24;
		double expected = (concurrent + 2 * Math.sqrt(concurrent)) * 2_550 / FixedFleet.MEMORY;
		assertThat(this.headroom.maxUtilization(SERVICE, LONG, now)).isWithin(0.04).of(0.97 - expected);
		now = arrive(now, 60_000, 5 * 18.2 / 29, 2_550, 450);
		double more = 5 * concurrent + 2 * Math.sqrt(5 * concurrent);
		assertThat(this.headroom.maxUtilization(SERVICE, LONG, now)).isWithin(0.06)
			.of(0.97 - more * 2_550 / FixedFleet.MEMORY);
	}

	/** Guards against both reserves being added up, which would leave memory unused. */
	@Test
	void reservesOverlap() {
		leaveAt(1_000, 5, 0.9);
		this.headroom.recordArrival(SERVICE, 0, 2_550, 1_000);
		assertThat(this.headroom.maxUtilization(SERVICE, LONG, 1_000)).isWithin(1e-9).of(0.97 - 5 * 0.9 / 24);
	}

	/** Guards against an overestimate from requests that waited during a pause. */
	@Test
	void pauseOfTheProcessForgetsOldArrivals() {
		long now = arrive(0, 60_000, 5, 2_550, 450) + 40_000;
		for (int i = 0; i < 5; i++) {
			this.headroom.recordArrival(SERVICE, 0, 2_550, now);
		}
		assertThat(this.headroom.maxUtilization(SERVICE, LONG, now)).isAtLeast(0.75);
	}

	/** Guards against long generations of other priorities enlarging the reserve. */
	@Test
	void lessUrgentGenerationsDoNotCount() {
		for (int i = 0; i < 100; i++) {
			this.headroom.recordArrival(SERVICE, LONG, 20_000, 100 * i);
			this.headroom.recordEnd(SERVICE, LONG, 9_000);
		}
		assertThat(this.headroom.maxUtilization(SERVICE, LONG, 10_000)).isWithin(1e-9).of(0.97 - ONE_URGENT);
	}

	private void leaveAt(long now, int count, double utilization) {
		for (int i = 0; i < count; i++) {
			leave("engine-" + i, now + i, utilization);
		}
	}

	private void leave(String id, long now, double utilization) {
		this.fleet.reserved.put(id, utilization * FixedFleet.MEMORY);
		this.headroom.recordDeparture(FixedFleet.engine(id), now);
	}

	private long arrive(long start, long millis, double perSecond, long tokens, long timeAtEngine) {
		SplittableRandom random = new SplittableRandom(7);
		double next = start;
		while (next < start + millis) {
			this.headroom.recordArrival(SERVICE, 0, tokens, (long) next);
			this.headroom.recordEnd(SERVICE, 0, timeAtEngine);
			next -= Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
		}
		return start + millis;
	}

}
