package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that the list of targets converges, over the parts as an entry wires them.
 * <p>
 * Property: an entry that follows the store, or hears one that does, holds just the
 * targets that the store lists, {@value #CONVERGED_MILLIS} ms after the last fault; and a
 * target that is gone never joins again.
 */
class MembershipTests {

	/** A watch whose answer was lost, a wait, a call, and the time for lapsed entries. */
	private static final long CONVERGED_MILLIS = 8_200;

	private static final int SEEDS = 1_500;

	private static final int EVACUATION_SEEDS = 500;

	private static final int RESTART_SEEDS = 3_000;

	private static final int COPY_SEEDS = 3_000;

	/** The targets' time of day at the start of a play, in milliseconds. */
	private static final long TIME_OF_DAY = 1_700_000_000_000L;

	/** By how much a machine's time of day steps at the most, in milliseconds. */
	private static final int MOST_STEP_MILLIS = 300_000;

	private static final int STEPS = 60;

	/** The most entries that there are once others started. */
	private static final int MOST_ENTRIES = 10;

	@Test
	void targetsThatLeftWhileTheStoreHadForgottenAreDropped() {
		MembershipWorld world = new MembershipWorld(1, 1, 1);
		world.list("a", "10.0.0.1", false);
		world.list("b", "10.0.0.2", false);
		world.start();
		world.storeDown();
		world.pass(6_000);
		world.unlist("a");
		world.forgetHistory();
		world.storeUp();
		world.pass(CONVERGED_MILLIS);
		assertThat(world.entries.get(0).knownIds()).containsExactly("b");
		assertThat(world.entries.get(0).takingWork).containsExactly("b");
	}

	@Test
	void aTargetThatLapsedAndDoesNotComeBackIsDroppedTwoSecondsAfterTheReturn() {
		MembershipWorld world = new MembershipWorld(1, 1, 1);
		world.list("a", "10.0.0.1", false);
		world.list("b", "10.0.0.2", false);
		world.start();
		world.storeDown();
		world.pass(5_000);
		world.unlist("a");
		world.lapse("b");
		world.storeUp();
		world.pass(2_900);
		assertThat(world.entries.get(0).knownIds()).containsExactly("b");
		assertThat(world.entries.get(0).joined).containsEntry("b", 1);
	}

	@Test
	void aTargetThatJoinsWhileTheStoreIsAwayIsKnownBehindItsReturn() {
		MembershipWorld world = new MembershipWorld(1, 2, 1);
		world.list("a", "10.0.0.1", false);
		world.start();
		world.entries.get(0).turnedAway = true;
		world.list("b", "10.0.0.2", false);
		world.pass(50);
		assertThat(world.entries.get(0).knownIds()).containsExactly("a", "b");
	}

	/**
	 * In ten seconds of 50 changes the store was asked 51 times by four entries of one
	 * data centre, and where each data centre reads for itself 244 times by sixteen of
	 * four and 444 times by 28 of seven; 97 and 73 times where they share the reading.
	 */
	@Test
	void callsDoNotGrowWithTheDataCentres() {
		assertThat(callsInTenSeconds(4, 1)).isAtMost(60);
		assertThat(callsInTenSeconds(16, 4)).isAtMost(122);
		assertThat(callsInTenSeconds(28, 7)).isAtMost(122);
	}

	// A target joins or leaves each fifth of a second.
	private static int callsInTenSeconds(int entries, int dataCentres) {
		MembershipWorld world = new MembershipWorld(1, entries, dataCentres);
		world.newsLate = 0;
		world.newsLost = 10;
		world.start();
		world.pass(2_000);
		int before = world.calls;
		for (int i = 0; i < 50; i++) {
			world.list("i" + i % 5, "10.0.0." + i % 5, i % 2 == 0);
			world.pass(200);
		}
		world.entries.forEach((e) -> assertThat(e.knownIds()).isEqualTo(world.listedIds()));
		return world.calls - before;
	}

	@Test
	void convergesAfterAnyOrderOfFaults() {
		for (long seed = 0; seed < SEEDS; seed++) {
			new Play(seed).run();
		}
	}

	@Test
	void evacuationsConvergeAfterAnyOrderOfFaults() {
		for (long seed = 0; seed < EVACUATION_SEEDS; seed++) {
			Play play = new Play(seed);
			play.evacuates = true;
			play.run();
		}
	}

	/**
	 * A target that starts again under its id is a new run, which is known as such and
	 * takes work, whatever was said of the run before it and whatever its machine's time
	 * of day is.
	 */
	@Test
	void runsConvergeAfterAnyOrderOfFaults() {
		for (long seed = 0; seed < RESTART_SEEDS; seed++) {
			Play play = new Play(seed);
			play.restarts = true;
			play.run();
		}
	}

	/**
	 * A store that comes back from an older copy, once or several times, among all other
	 * faults: what it lost is not taken for gone, what has ended does not come back, what
	 * left stays so, and all converge behind the return as behind any other.
	 */
	@Test
	void listsConvergeThoughTheStoreComesBackFromOlderCopies() {
		for (long seed = 0; seed < COPY_SEEDS; seed++) {
			Play play = new Play(seed);
			play.copies = true;
			play.evacuates = seed % 2 == 0;
			play.restarts = seed % 3 == 0;
			play.run();
		}
	}

	@Test
	void aTargetThatAnOlderCopyLacksIsNotDroppedAndOneThatLeftStaysSo() {
		MembershipWorld world = new MembershipWorld(1, 4, 1);
		world.list("a", "10.0.0.1", false);
		world.list("b", "10.0.0.2", false);
		world.list("gone", "10.0.0.3", false);
		world.start();
		world.copy();
		world.list("late", "10.0.0.4", false);
		world.list("b", "10.0.0.2", true);
		world.unlist("gone");
		world.evacuate("dc9");
		world.pass(100);
		world.comeBackFromCopy();
		for (int i = 0; i < 60; i++) {
			world.pass(50);
			world.entries.forEach((e) -> assertThat(e.takingWork).containsExactly("a", "late"));
			world.entries.forEach((e) -> assertThat(e.evacuated).containsExactly("dc9"));
			world.entries.forEach((e) -> assertThat(e.joined).doesNotContainEntry("gone", 2));
		}
	}

	@Test
	void anEvacuationAndItsEndAreKnownToAllEntriesWithinASecond() {
		MembershipWorld world = new MembershipWorld(1, 9, 2);
		world.newsLost = 100;
		world.list("a", "10.0.0.1", false);
		world.start();
		world.entries.get(0).turnedAway = true;
		world.evacuate("dc");
		world.pass(1_000);
		world.entries.forEach((e) -> assertThat(e.store.directory().takesWork("a")).isFalse());
		world.takeBack("dc");
		world.pass(1_000);
		world.entries.forEach((e) -> assertThat(e.store.directory().takesWork("a")).isTrue());
	}

	@Test
	void anEvacuationAskedForWhileTheStoreIsSilentIsKnownBehindItsReturn() {
		MembershipWorld world = new MembershipWorld(1, 4, 1);
		world.list("a", "10.0.0.1", false);
		world.start();
		world.storeDown();
		world.pass(3_000);
		world.evacuate("dc");
		world.forgetHistory();
		world.storeUp();
		world.pass(3_000);
		world.entries.forEach((e) -> assertThat(e.store.directory().takesWork("a")).isFalse());
	}

	/**
	 * One seeded order of events.
	 */
	private static final class Play {

		private final long seed;

		private final SplittableRandom random;

		private final MembershipWorld world;

		private final List<String> live = new ArrayList<>();

		/** Whether data centres are evacuated and taken back, by a random of its own. */
		private boolean evacuates;

		private final SplittableRandom evacuations;

		/** Whether targets start again under their id, by a random of its own. */
		private boolean restarts;

		private final SplittableRandom starts;

		/** Whether the store comes back from older copies, by a random of its own. */
		private boolean copies;

		private final SplittableRandom returns;

		private boolean lapsedAny;

		private int ids;

		Play(long seed) {
			this.seed = seed;
			this.random = new SplittableRandom(seed);
			this.evacuations = new SplittableRandom(~seed);
			this.starts = new SplittableRandom(seed * 31 + 7);
			this.returns = new SplittableRandom(seed * 13 + 5);
			this.world = (seed % 4 == 0) ? new MembershipWorld(seed, 9, 2)
					: new MembershipWorld(seed, 1 + (int) (seed % 5), 1);
			this.world.newsLost = this.random.nextInt(4) * 100;
		}

		void run() {
			for (int i = 0; i < 4; i++) {
				join();
			}
			this.world.start();
			for (int i = 0; i < STEPS; i++) {
				step();
				evacuate();
				startAgain();
				comeBack();
				this.world.pass(this.random.nextInt(300));
			}
			this.world.entries.forEach((e) -> e.turnedAway = false);
			if (!this.world.isUp()) {
				this.world.storeUp();
			}
			this.world.pass(CONVERGED_MILLIS);
			check();
		}

		private void check() {
			for (MembershipWorld.Entry entry : this.world.entries) {
				assertWithMessage("seed %s, entry %s", this.seed, entry.name).that(entry.knownIds())
					.isEqualTo(this.world.listedIds());
				assertWithMessage("seed %s, entry %s, evacuated", this.seed, entry.name).that(entry.evacuated)
					.isEqualTo(this.world.evacuated());
				assertWithMessage("seed %s, entry %s, runs", this.seed, entry.name).that(entry.knownStarts())
					.isEqualTo(this.world.listedStarts());
				if (this.restarts) {
					assertWithMessage("seed %s, entry %s, taking work", this.seed, entry.name).that(entry.takingWork)
						.isEqualTo(this.world.listedTakingWork());
				}
				if (!this.lapsedAny) {
					entry.runsJoined.forEach((run,
							times) -> assertWithMessage("seed %s, entry %s, %s joined", this.seed, entry.name, run)
								.that(times)
								.isEqualTo(1));
				}
				if (!this.lapsedAny && !this.restarts) {
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
			String dataCentre = "dc" + this.evacuations.nextInt(3);
			switch (this.evacuations.nextInt(6)) {
				case 0 -> this.world.evacuate(dataCentre);
				case 1 -> this.world.takeBack(dataCentre);
				default -> {
				}
			}
		}

		private void startAgain() {
			if (!this.restarts) {
				return;
			}
			switch (this.starts.nextInt(4)) {
				case 0 -> startAgain(this.live.get(this.starts.nextInt(this.live.size())));
				case 1 -> startEntry();
				default -> {
				}
			}
		}

		// A target ends without a word or behind its notice, and lists itself again
		// before
		// its entry went or behind that; its machine's time of day may have stepped.
		private void startAgain(String id) {
			if (!this.world.listedIds().contains(id)) {
				return;
			}
			if (this.starts.nextBoolean()) {
				this.world.list(id, address(id), true);
				this.world.pass(this.starts.nextInt(100));
			}
			if (this.starts.nextInt(3) == 0) {
				this.world.unlist(id);
				this.world.pass(this.starts.nextInt(100));
			}
			int stepped = this.starts.nextBoolean() ? 0 : this.starts.nextInt(-MOST_STEP_MILLIS, MOST_STEP_MILLIS);
			this.world.starts(id, TIME_OF_DAY + this.world.now + stepped);
			this.world.list(id, address(id), false);
		}

		// A copy is some seconds old, and the store away for a moment before it is used.
		private void comeBack() {
			if (!this.copies) {
				return;
			}
			switch (this.returns.nextInt(8)) {
				case 0 -> this.world.copy();
				case 1 -> {
					if (this.world.isUp() && this.world.hasCopy()) {
						this.lapsedAny = true;
						this.world.storeDown();
						this.world.pass(this.returns.nextInt(400));
						this.world.storeUp();
						this.world.comeBackFromCopy();
					}
				}
				default -> {
				}
			}
		}

		private void startEntry() {
			int entries = this.world.entries.size();
			if (entries < MOST_ENTRIES && this.starts.nextInt(6) == 0) {
				this.world.startWithStateOf(this.world.entries.get(this.starts.nextInt(entries)));
			}
		}

		private void step() {
			switch (this.random.nextInt(12)) {
				case 0, 1, 2 -> join();
				case 3, 4 -> leave();
				case 5 -> takeAddressUnlessTargetsStartAgain();
				case 6 -> this.world.forgetHistory();
				case 7 -> this.world.entries.get(this.random.nextInt(this.world.entries.size())).turnedAway ^= true;
				case 8 -> this.world.storeDown();
				case 9, 10 -> {
					if (!this.world.isUp()) {
						this.world.storeUp();
					}
				}
				default -> lapse();
			}
		}

		private void join() {
			String id = "i" + this.ids++;
			this.live.add(id);
			this.world.list(id, "10.0.0." + this.ids, false);
		}

		private void leave() {
			if (this.live.size() > 2) {
				String id = this.live.remove(this.random.nextInt(this.live.size()));
				// One that lapsed lists itself again as it was, also behind its notice.
				boolean hasLapsed = !this.world.listedIds().contains(id);
				if (this.restarts && hasLapsed) {
					this.live.add(id);
					return;
				}
				if (this.random.nextBoolean()) {
					this.world.list(id, address(id), true);
					this.world.pass(this.random.nextInt(100));
				}
				this.world.unlist(id);
			}
		}

		// Plays with restarts also look at what takes work. Which of two targets at one
		// address does is not said by their runs.
		private void takeAddressUnlessTargetsStartAgain() {
			if (!this.restarts) {
				takeAddress();
			}
		}

		// A target ends without a word, and another gets its address before its entry
		// goes.
		private void takeAddress() {
			if (this.live.size() > 2) {
				String former = this.live.remove(this.random.nextInt(this.live.size()));
				String id = "i" + this.ids++;
				this.live.add(id);
				this.world.list(id, address(former), false);
				this.world.pass(this.random.nextInt(300));
				this.world.unlist(former);
			}
		}

		private void lapse() {
			if (!this.world.isUp() && !this.live.isEmpty()) {
				this.lapsedAny = true;
				String id = this.live.get(this.random.nextInt(this.live.size()));
				if (this.world.listedIds().contains(id)) {
					this.world.lapse(id);
				}
			}
		}

		private static String address(String id) {
			return "10.0.0." + (Integer.parseInt(id.substring(1)) + 1);
		}

	}

}
