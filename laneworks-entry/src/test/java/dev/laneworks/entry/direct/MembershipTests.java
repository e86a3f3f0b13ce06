package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Simulation tests that the target lists of all entries converge after faults.
 * <p>
 * Property: an entry that reaches the store, or another entry that does, knows exactly
 * the listed targets {@value #CONVERGENCE_MILLIS} ms after the last fault, and a removed
 * target never joins again.
 */
class MembershipTests {

	/**
	 * A watch whose answer is lost, a backoff, a call, and the time for lapsed targets.
	 */
	private static final long CONVERGENCE_MILLIS = 8_200;

	private static final int SEEDS = 1_500;

	private static final int EVACUATION_SEEDS = 500;

	private static final int RESTART_SEEDS = 3_000;

	private static final int RESTORE_SEEDS = 3_000;

	/** Wall-clock time of the targets at the start of a scenario, in milliseconds. */
	private static final long TIME_OF_DAY = 1_700_000_000_000L;

	/** Largest step of an instance's wall clock. */
	private static final int MAX_CLOCK_STEP_MILLIS = 300_000;

	private static final int STEPS = 60;

	/** Upper limit of entries, including those that start during a scenario. */
	private static final int MAX_ENTRIES = 10;

	@Test
	void dropsTargetsThatLeftWhileTheStoreDiscardedItsHistory() {
		MembershipSimulation simulation = new MembershipSimulation(1, 1, 1);
		simulation.list("a", "10.0.0.1", false);
		simulation.list("b", "10.0.0.2", false);
		simulation.start();
		simulation.storeDown();
		simulation.advance(6_000);
		simulation.unlist("a");
		simulation.discardHistory();
		simulation.storeUp();
		simulation.advance(CONVERGENCE_MILLIS);
		assertThat(simulation.entries.get(0).knownIds()).containsExactly("b");
		assertThat(simulation.entries.get(0).acceptingRequests).containsExactly("b");
	}

	@Test
	void dropsLapsedTargetsTwoSecondsAfterTheStoreReturns() {
		MembershipSimulation simulation = new MembershipSimulation(1, 1, 1);
		simulation.list("a", "10.0.0.1", false);
		simulation.list("b", "10.0.0.2", false);
		simulation.start();
		simulation.storeDown();
		simulation.advance(5_000);
		simulation.unlist("a");
		simulation.lapse("b");
		simulation.storeUp();
		simulation.advance(2_900);
		assertThat(simulation.entries.get(0).knownIds()).containsExactly("b");
		assertThat(simulation.entries.get(0).joined).containsEntry("b", 1);
	}

	@Test
	void learnsNewTargetsFromPeersWhileTheStoreRejectsIt() {
		MembershipSimulation simulation = new MembershipSimulation(1, 2, 1);
		simulation.list("a", "10.0.0.1", false);
		simulation.start();
		simulation.entries.get(0).rejectedByStore = true;
		simulation.list("b", "10.0.0.2", false);
		simulation.advance(50);
		assertThat(simulation.entries.get(0).knownIds()).containsExactly("a", "b");
	}

	/**
	 * Guards against store calls that grow with the number of data centres or entries.
	 */
	@Test
	void numberOfStoreCallsIsIndependentOfTheNumberOfDataCentres() {
		assertThat(callsInTenSeconds(4, 1)).isAtMost(60);
		assertThat(callsInTenSeconds(16, 4)).isAtMost(122);
		assertThat(callsInTenSeconds(28, 7)).isAtMost(122);
	}

	// Count the store calls while a target joins or leaves every 200 ms.
	private static int callsInTenSeconds(int entries, int dataCentres) {
		MembershipSimulation simulation = new MembershipSimulation(1, entries, dataCentres);
		simulation.lateUpdatesPerMille = 0;
		simulation.lostUpdatesPerMille = 10;
		simulation.start();
		simulation.advance(2_000);
		int before = simulation.calls;
		for (int i = 0; i < 50; i++) {
			simulation.list("i" + i % 5, "10.0.0." + i % 5, i % 2 == 0);
			simulation.advance(200);
		}
		simulation.entries.forEach((e) -> assertThat(e.knownIds()).isEqualTo(simulation.listedIds()));
		return simulation.calls - before;
	}

	@Test
	void convergesAfterAnySequenceOfFaults() {
		for (long seed = 0; seed < SEEDS; seed++) {
			new Scenario(seed).run();
		}
	}

	@Test
	void evacuationsConvergeAfterAnySequenceOfFaults() {
		for (long seed = 0; seed < EVACUATION_SEEDS; seed++) {
			Scenario scenario = new Scenario(seed);
			scenario.evacuates = true;
			scenario.run();
		}
	}

	/**
	 * Guards against treating a restarted target as its former incarnation, whatever the
	 * wall clock of its instance shows.
	 */
	@Test
	void incarnationsConvergeAfterAnySequenceOfFaults() {
		for (long seed = 0; seed < RESTART_SEEDS; seed++) {
			Scenario scenario = new Scenario(seed);
			scenario.restartsTargets = true;
			scenario.run();
		}
	}

	/**
	 * Guards against dropping targets that a backup lacks and reviving those that left
	 * when the store is restored, once or repeatedly, among other faults.
	 */
	@Test
	void convergesAfterTheStoreIsRestoredFromBackups() {
		for (long seed = 0; seed < RESTORE_SEEDS; seed++) {
			Scenario scenario = new Scenario(seed);
			scenario.restoresBackups = true;
			scenario.evacuates = seed % 2 == 0;
			scenario.restartsTargets = seed % 3 == 0;
			scenario.run();
		}
	}

	@Test
	void keepsTargetsMissingFromABackupAndDoesNotReviveTargetsThatLeft() {
		MembershipSimulation simulation = new MembershipSimulation(1, 4, 1);
		simulation.list("a", "10.0.0.1", false);
		simulation.list("b", "10.0.0.2", false);
		simulation.list("gone", "10.0.0.3", false);
		simulation.start();
		simulation.takeBackup();
		simulation.list("late", "10.0.0.4", false);
		simulation.list("b", "10.0.0.2", true);
		simulation.unlist("gone");
		simulation.evacuate("dc9");
		simulation.advance(100);
		simulation.restoreFromBackup();
		for (int i = 0; i < 60; i++) {
			simulation.advance(50);
			simulation.entries.forEach((e) -> assertThat(e.acceptingRequests).containsExactly("a", "late"));
			simulation.entries.forEach((e) -> assertThat(e.evacuated).containsExactly("dc9"));
			simulation.entries.forEach((e) -> assertThat(e.joined).doesNotContainEntry("gone", 2));
		}
	}

	@Test
	void evacuationAndItsEndReachAllEntriesWithinASecond() {
		MembershipSimulation simulation = new MembershipSimulation(1, 9, 2);
		simulation.lostUpdatesPerMille = 100;
		simulation.list("a", "10.0.0.1", false);
		simulation.start();
		simulation.entries.get(0).rejectedByStore = true;
		simulation.evacuate("dc");
		simulation.advance(1_000);
		simulation.entries.forEach((e) -> assertThat(e.store.directory().acceptsRequests("a")).isFalse());
		simulation.endEvacuation("dc");
		simulation.advance(1_000);
		simulation.entries.forEach((e) -> assertThat(e.store.directory().acceptsRequests("a")).isTrue());
	}

	@Test
	void evacuationRequestedDuringAStoreOutageIsAppliedAfterItsReturn() {
		MembershipSimulation simulation = new MembershipSimulation(1, 4, 1);
		simulation.list("a", "10.0.0.1", false);
		simulation.start();
		simulation.storeDown();
		simulation.advance(3_000);
		simulation.evacuate("dc");
		simulation.discardHistory();
		simulation.storeUp();
		simulation.advance(3_000);
		simulation.entries.forEach((e) -> assertThat(e.store.directory().acceptsRequests("a")).isFalse());
	}

	/** Seeded sequence of events. */
	private static final class Scenario {

		private final long seed;

		private final SplittableRandom random;

		private final MembershipSimulation simulation;

		private final List<String> liveTargets = new ArrayList<>();

		/**
		 * Whether data centres are evacuated and restored, driven by a random source of
		 * its own.
		 */
		private boolean evacuates;

		private final SplittableRandom evacuationRandom;

		/**
		 * Whether targets restart under their id, driven by a random source of its own.
		 */
		private boolean restartsTargets;

		private final SplittableRandom restartRandom;

		/**
		 * Whether the store is restored from backups, driven by a random source of its
		 * own.
		 */
		private boolean restoresBackups;

		private final SplittableRandom restoreRandom;

		private boolean hasLapsedTargets;

		private int nextId;

		Scenario(long seed) {
			this.seed = seed;
			this.random = new SplittableRandom(seed);
			this.evacuationRandom = new SplittableRandom(~seed);
			this.restartRandom = new SplittableRandom(seed * 31 + 7);
			this.restoreRandom = new SplittableRandom(seed * 13 + 5);
			this.simulation = (seed % 4 == 0) ? new MembershipSimulation(seed, 9, 2)
					: new MembershipSimulation(seed, 1 + (int) (seed % 5), 1);
			this.simulation.lostUpdatesPerMille = this.random.nextInt(4) * 100;
		}

		void run() {
			for (int i = 0; i < 4; i++) {
				join();
			}
			this.simulation.start();
			for (int i = 0; i < STEPS; i++) {
				step();
				evacuate();
				restartTarget();
				restoreStore();
				this.simulation.advance(this.random.nextInt(300));
			}
			this.simulation.entries.forEach((e) -> e.rejectedByStore = false);
			if (!this.simulation.isUp()) {
				this.simulation.storeUp();
			}
			this.simulation.advance(CONVERGENCE_MILLIS);
			check();
		}

		private void check() {
			for (MembershipSimulation.Entry entry : this.simulation.entries) {
				assertWithMessage("seed %s, entry %s", this.seed, entry.name).that(entry.knownIds())
					.isEqualTo(this.simulation.listedIds());
				assertWithMessage("seed %s, entry %s, evacuated", this.seed, entry.name).that(entry.evacuated)
					.isEqualTo(this.simulation.evacuated());
				assertWithMessage("seed %s, entry %s, runs", this.seed, entry.name).that(entry.knownStarts())
					.isEqualTo(this.simulation.listedStarts());
				if (this.restartsTargets) {
					assertWithMessage("seed %s, entry %s, accepting requests", this.seed, entry.name)
						.that(entry.acceptingRequests)
						.isEqualTo(this.simulation.listedTakingWork());
				}
				if (!this.hasLapsedTargets) {
					entry.joinedIncarnations
						.forEach((incarnation, times) -> assertWithMessage("seed %s, entry %s, %s joined", this.seed,
								entry.name, incarnation)
							.that(times)
							.isEqualTo(1));
				}
				if (!this.hasLapsedTargets && !this.restartsTargets) {
					entry.joined.forEach(
							(id, times) -> assertWithMessage("seed %s, entry %s, %s joined", this.seed, entry.name, id)
								.that(times)
								.isEqualTo(1));
				}
			}
		}

		private void evacuate() {
			if (!this.evacuates) {
				return;
			}
			String dataCentre = "dc" + this.evacuationRandom.nextInt(3);
			switch (this.evacuationRandom.nextInt(6)) {
				case 0 -> this.simulation.evacuate(dataCentre);
				case 1 -> this.simulation.endEvacuation(dataCentre);
				default -> {
				}
			}
		}

		private void restartTarget() {
			if (!this.restartsTargets) {
				return;
			}
			switch (this.restartRandom.nextInt(4)) {
				case 0 -> restartTarget(this.liveTargets.get(this.restartRandom.nextInt(this.liveTargets.size())));
				case 1 -> startEntry();
				default -> {
				}
			}
		}

		// A target crashes or drains, and registers again before or after its former
		// registration is removed; its wall clock may have stepped.
		private void restartTarget(String id) {
			if (!this.simulation.listedIds().contains(id)) {
				return;
			}
			if (this.restartRandom.nextBoolean()) {
				this.simulation.list(id, address(id), true);
				this.simulation.advance(this.restartRandom.nextInt(100));
			}
			if (this.restartRandom.nextInt(3) == 0) {
				this.simulation.unlist(id);
				this.simulation.advance(this.restartRandom.nextInt(100));
			}
			int clockStepMillis = this.restartRandom.nextBoolean() ? 0
					: this.restartRandom.nextInt(-MAX_CLOCK_STEP_MILLIS, MAX_CLOCK_STEP_MILLIS);
			this.simulation.starts(id, TIME_OF_DAY + this.simulation.now + clockStepMillis);
			this.simulation.list(id, address(id), false);
		}

		// A backup is some seconds old, and the store is unavailable briefly before the
		// restore.
		private void restoreStore() {
			if (!this.restoresBackups) {
				return;
			}
			switch (this.restoreRandom.nextInt(8)) {
				case 0 -> this.simulation.takeBackup();
				case 1 -> {
					if (this.simulation.isUp() && this.simulation.hasBackup()) {
						this.hasLapsedTargets = true;
						this.simulation.storeDown();
						this.simulation.advance(this.restoreRandom.nextInt(400));
						this.simulation.storeUp();
						this.simulation.restoreFromBackup();
					}
				}
				default -> {
				}
			}
		}

		private void startEntry() {
			int entries = this.simulation.entries.size();
			if (entries < MAX_ENTRIES && this.restartRandom.nextInt(6) == 0) {
				this.simulation.startWithSnapshotOf(this.simulation.entries.get(this.restartRandom.nextInt(entries)));
			}
		}

		private void step() {
			switch (this.random.nextInt(12)) {
				case 0, 1, 2 -> join();
				case 3, 4 -> leave();
				case 5 -> reuseAddressUnlessRestarting();
				case 6 -> this.simulation.discardHistory();
				case 7 -> this.simulation.entries
					.get(this.random.nextInt(this.simulation.entries.size())).rejectedByStore ^= true;
				case 8 -> this.simulation.storeDown();
				case 9, 10 -> {
					if (!this.simulation.isUp()) {
						this.simulation.storeUp();
					}
				}
				default -> lapse();
			}
		}

		private void join() {
			String id = "i" + this.nextId++;
			this.liveTargets.add(id);
			this.simulation.list(id, "10.0.0." + this.nextId, false);
		}

		private void leave() {
			if (this.liveTargets.size() > 2) {
				String id = this.liveTargets.remove(this.random.nextInt(this.liveTargets.size()));
				// A lapsed target registers again unchanged, even after its reclaim
				// notice.
				boolean hasLapsed = !this.simulation.listedIds().contains(id);
				if (this.restartsTargets && hasLapsed) {
					this.liveTargets.add(id);
					return;
				}
				if (this.random.nextBoolean()) {
					this.simulation.list(id, address(id), true);
					this.simulation.advance(this.random.nextInt(100));
				}
				this.simulation.unlist(id);
			}
		}

		// Scenarios with restarts also check which targets accept requests, which
		// incarnations do not determine for two targets at one address.
		private void reuseAddressUnlessRestarting() {
			if (!this.restartsTargets) {
				reuseAddress();
			}
		}

		// A target crashes, and another one gets its address before its registration is
		// removed.
		private void reuseAddress() {
			if (this.liveTargets.size() > 2) {
				String previous = this.liveTargets.remove(this.random.nextInt(this.liveTargets.size()));
				String id = "i" + this.nextId++;
				this.liveTargets.add(id);
				this.simulation.list(id, address(previous), false);
				this.simulation.advance(this.random.nextInt(300));
				this.simulation.unlist(previous);
			}
		}

		private void lapse() {
			if (!this.simulation.isUp() && !this.liveTargets.isEmpty()) {
				this.hasLapsedTargets = true;
				String id = this.liveTargets.get(this.random.nextInt(this.liveTargets.size()));
				if (this.simulation.listedIds().contains(id)) {
					this.simulation.lapse(id);
				}
			}
		}

		private static String address(String id) {
			return "10.0.0." + (Integer.parseInt(id.substring(1)) + 1);
		}

	}

}
