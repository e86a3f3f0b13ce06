package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Simulation tests that each plan comes into force at all entries in time while the store
 * rejects some of them.
 */
class PlanPropagationTests {

	/**
	 * Time after a plan was published within which it must be in force at all entries
	 * that reach the store or another entry.
	 */
	private static final long APPLY_MILLIS = 3_000;

	/**
	 * The same time for entries that the store rejects, where a plan takes longer over a
	 * link than others need to read it.
	 */
	private static final long REJECTED_APPLY_MILLIS = 9_000;

	private static final int[] FLEETS = { 4, 33, 300 };

	private static final int DATA_CENTRES = 3;

	/** Larger than a message between entries. */
	private static final int LARGE_PLAN_CHARACTERS = 40_000;

	/**
	 * The plans of all entries together. It bounds the memory of the test: a plan has a
	 * megabyte at 33 entries.
	 */
	private static final int LARGEST_PLANS_CHARACTERS = 33_000_000;

	/** Two plans fit into a message between entries. */
	private static final int SMALL_PLAN_CHARACTERS = 12_000;

	// Guards against entries that know of a newer plan, do not receive it and serve by
	// the old one.
	@Test
	void rejectedEntriesApplyEachLargePlanInTime() {
		assertNoneLate((entries) -> {
			Play play = new Play(1, entries, APPLY_MILLIS);
			play.rejectShare(0.4);
			play.publish(15_000, 1_000, LARGE_PLAN_CHARACTERS);
			return play;
		});
	}

	// Guards against requests for chunks that are repeated before the answer can have
	// arrived, until repeated answers fill the link.
	@Test
	void rejectedEntriesApplyPlansOfThePlatformsLargestSize() {
		assertNoneLate((entries) -> {
			Play play = new Play(3, entries, REJECTED_APPLY_MILLIS);
			play.rejectShare(0.4);
			play.publish(20_000, 10_000, Math.min(1_000_000, LARGEST_PLANS_CHARACTERS / entries));
			return play;
		});
	}

	// Guards against answers to rejected entries that outgrow a message because they
	// include each version of the plan.
	@Test
	void rejectedEntriesApplyPlansThatChangeInQuickSuccession() {
		assertNoneLate((entries) -> {
			Play play = new Play(2, entries, APPLY_MILLIS);
			play.simulation.lostUpdatesPerMille = 200;
			play.rejectShare(0.4);
			play.publish(8_000, 100, SMALL_PLAN_CHARACTERS);
			return play;
		});
	}

	private static void assertNoneLate(IntFunction<Play> scenario) {
		List<String> failures = new ArrayList<>();
		for (int entries : FLEETS) {
			Play play = scenario.apply(entries);
			if (!play.late.isEmpty()) {
				failures.add(entries + " entries, " + play.late.size() + " times late, first: " + play.late.get(0));
			}
			for (MembershipSimulation.Entry entry : play.simulation.entries) {
				assertWithMessage("%s entries, plans of %s", entries, entry.name).that(entry.planVersions)
					.isInStrictOrder();
			}
		}
		assertWithMessage("fleets with late plans").that(failures).isEmpty();
	}

	/** Fleet whose plan and targets change all the while. */
	private static final class Play {

		private static final long STEP_MILLIS = 50;

		private static final long TARGET_CHANGE_MILLIS = 300;

		final MembershipSimulation simulation;

		private final List<Long> publishedAt = new ArrayList<>();

		private final List<String> late = new ArrayList<>();

		private final long applyMillis;

		private long version = 1;

		Play(long seed, int entries, long applyMillis) {
			this.applyMillis = applyMillis;
			this.simulation = new MembershipSimulation(seed, entries, DATA_CENTRES);
			this.simulation.broadcastsToAll = entries <= 9;
			for (int i = 0; i < 6; i++) {
				this.simulation.list("t" + i, "10.0.0." + i, false);
			}
			this.simulation.start();
			this.simulation.advance(2_000);
		}

		void rejectShare(double share) {
			for (int i = 0; i < share * this.simulation.entries.size(); i++) {
				this.simulation.entries.get(i).rejectedByStore = true;
			}
		}

		// Publishes plans at an interval, changes targets meanwhile, and waits until the
		// last plan must be in force.
		void publish(long millis, long interval, int characters) {
			long start = this.simulation.now;
			for (long t = 0; t < millis + this.applyMillis; t += STEP_MILLIS) {
				if (t < millis && t % interval == 0) {
					this.simulation.publishPlan(++this.version, characters);
					this.publishedAt.add(this.simulation.now);
				}
				if (t % TARGET_CHANGE_MILLIS == 0) {
					this.simulation.list("t" + (t / TARGET_CHANGE_MILLIS) % 6, "10.0.1." + t % 250, false);
				}
				this.simulation.advance(start + t + STEP_MILLIS - this.simulation.now);
				this.simulation.entries.forEach(this::check);
			}
		}

		private void check(MembershipSimulation.Entry entry) {
			long due = 1 + this.publishedAt.stream().filter((p) -> this.simulation.now - p > this.applyMillis).count();
			if (entry.planVersion() < due) {
				this.late.add(entry.name + " has plan " + entry.planVersion() + " instead of " + due + " at "
						+ this.simulation.now + " ms");
			}
		}

	}

}
