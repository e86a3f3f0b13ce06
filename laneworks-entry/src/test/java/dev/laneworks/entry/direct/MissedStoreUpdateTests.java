package dev.laneworks.entry.direct;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Simulation tests that an entry which was disconnected from the store soon detects which
 * updates it missed. Guards against sending requests to a target that was removed
 * meanwhile.
 */
class MissedStoreUpdateTests {

	/** Time after the return of the path within which missed updates must be known. */
	private static final long CATCH_UP_MILLIS = 2_600;

	private static final int SEEDS = 500;

	@Test
	void isolatedEntryReceivesWhatPeersFindByRereading() {
		runAll((seed, simulation, isolated) -> {
			isolated.rejectedByStore = true;
			simulation.advance(5_000);
			simulation.silenceWatches();
			simulation.unlist("t0");
			simulation.advance(1_100);
			simulation.discardHistoryAndResetWatches();
			simulation.advance(600);
			assertTakesNoWork(seed, isolated);
		});
	}

	@Test
	void dropsTargetsThatVanishedWhileWatchesWereSilent() {
		runAll((seed, simulation, isolated) -> {
			simulation.silenceWatches();
			simulation.unlist("t0");
			simulation.advance(1_100);
			simulation.discardHistoryAndResetWatches();
			simulation.advance(600);
			for (MembershipSimulation.Entry entry : simulation.entries) {
				assertTakesNoWork(seed, entry);
			}
		});
	}

	@Test
	void catchesUpAfterItsReturnWithoutPeers() {
		runAll((seed, simulation, isolated) -> {
			isolated.ignoresPeers = true;
			isolateWhileATargetVanishes(simulation, isolated);
			simulation.advance(CATCH_UP_MILLIS);
			assertTakesNoWork(seed, isolated);
		});
	}

	@Test
	void catchesUpWhenAnAnswerIsLostAfterItsReturn() {
		runAll((seed, simulation, isolated) -> {
			isolated.ignoresPeers = true;
			isolateWhileATargetVanishes(simulation, isolated);
			simulation.advance(400);
			// The entry reaches the store again, and the answer to its next watch is
			// lost.
			isolated.losesNextLongWatch = true;
			simulation.advance(2_000);
			simulation.list("t6", "10.0.0.66", false);
			simulation.unlist("t1");
			simulation.advance(CATCH_UP_MILLIS);
			assertTakesNoWork(seed, isolated);
			assertWithMessage("seed %s", seed).that(isolated.store.directory().acceptsRequests("t1")).isFalse();
		});
	}

	@Test
	void lostReadsAfterTheReturnDoNotRestartTheLapseWait() {
		runAll((seed, simulation, isolated) -> {
			isolated.ignoresPeers = true;
			isolateWhileATargetVanishes(simulation, isolated);
			isolated.lostPages = 3;
			// Three calls that time out after 0.7 s, each with the backoff after it.
			simulation.advance(1_000 + 3 * 700 + 80 + 160 + 320);
			assertTakesNoWork(seed, isolated);
		});
	}

	// Guards against an entry that takes the time of its own start for an outage of the
	// store and holds back removals after it.
	@Test
	void dropsATargetThatVanishesAfterItsOwnLateStart() {
		runAll((seed, simulation, provider) -> {
			MembershipSimulation.Entry late = simulation.startWithoutContact("dc0");
			simulation.advance(1_200);
			simulation.adopt(late, provider);
			late.rejectedByStore = false;
			late.ignoresPeers = false;
			simulation.advance(1_000);
			assertWithMessage("seed %s", seed).that(late.store.directory().acceptsRequests("t0")).isTrue();
			simulation.unlist("t0");
			simulation.advance(300);
			assertTakesNoWork(seed, late);
		});
	}

	@Test
	void requestsAMissedChangeWhicheverPeerReportedTheNextOne() {
		runAll((seed, simulation, isolated) -> {
			isolated.rejectedByStore = true;
			simulation.advance(5_000);
			isolated.ignoresPeers = true;
			simulation.list("t6", "10.0.0.66", false);
			simulation.advance(200);
			simulation.unlist("t0");
			simulation.advance(200);
			isolated.ignoresPeers = false;
			for (int i = 0; i < 3; i++) {
				simulation.list("u" + i, "10.0.1." + i, false);
				simulation.advance(400);
			}
			assertTakesNoWork(seed, isolated);
		});
	}

	/**
	 * Guards against heartbeat probes that cause additional store calls.
	 */
	@Test
	void heartbeatProbesDoNotMultiplyStoreCalls() {
		MembershipSimulation simulation = started(1);
		simulation.calls = 0;
		simulation.probes = 0;
		simulation.advance(10_000);
		assertThat(simulation.calls).isAtMost(9);
		assertThat(simulation.probes).isAtMost(100);
		simulation.entries.get(0).rejectedByStore = true;
		simulation.calls = 0;
		simulation.probes = 0;
		simulation.advance(10_000);
		assertThat(simulation.calls).isAtMost(19);
		assertThat(simulation.probes).isAtMost(103);
	}

	@Test
	void detectsAHangingWatchFromPeerUpdates() {
		runAll((seed, simulation, isolated) -> {
			isolated.losesNextLongWatch = true;
			isolated.losesProbes = true;
			simulation.list("t6", "10.0.0.66", false);
			simulation.advance(1_000);
			// The entry misses the update of a removal and receives that of a later
			// change.
			isolated.ignoresPeers = true;
			simulation.unlist("t0");
			simulation.advance(500);
			isolated.ignoresPeers = false;
			simulation.list("t7", "10.0.0.77", false);
			simulation.advance(1_200);
			assertTakesNoWork(seed, isolated);
		});
	}

	private static void runAll(Scenario scenario) {
		for (long seed = 0; seed < SEEDS; seed++) {
			MembershipSimulation simulation = started(seed);
			scenario.run(seed, simulation, simulation.entries.get(0));
		}
	}

	private static MembershipSimulation started(long seed) {
		MembershipSimulation simulation = new MembershipSimulation(seed, 4, 4);
		simulation.broadcastsToAll = true;
		simulation.lateUpdatesPerMille = 0;
		for (int i = 0; i < 6; i++) {
			simulation.list("t" + i, "10.0.0." + i, false);
		}
		simulation.start();
		simulation.advance(3_000 + simulation.random.nextInt(4_000));
		return simulation;
	}

	private static void isolateWhileATargetVanishes(MembershipSimulation simulation,
			MembershipSimulation.Entry isolated) {
		isolated.rejectedByStore = true;
		simulation.advance(2_000);
		simulation.unlist("t0");
		simulation.advance(3_000);
		simulation.silenceWatches();
		simulation.list("t8", "10.0.0.8", false);
		simulation.advance(1_100);
		simulation.discardHistoryAndResetWatches();
		simulation.advance(4_900 + simulation.random.nextInt(800));
		isolated.rejectedByStore = false;
		simulation.list("t9", "10.0.0.9", false);
	}

	private static void assertTakesNoWork(long seed, MembershipSimulation.Entry entry) {
		assertWithMessage("seed %s, entry %s", seed, entry.name).that(entry.store.directory().acceptsRequests("t0"))
			.isFalse();
	}

	/** Sequence of events in which one entry is isolated. */
	@FunctionalInterface
	private interface Scenario {

		void run(long seed, MembershipSimulation simulation, MembershipSimulation.Entry isolated);

	}

}
