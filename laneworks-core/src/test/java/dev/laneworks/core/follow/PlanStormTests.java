package dev.laneworks.core.follow;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that processes which fetch a large item all at once have it soon, whatever small
 * changes others are ahead by.
 */
class PlanStormTests {

	private static final long PLAN_BYTES = 500_000;

	// Of eight entries of a data centre five never got a plan of 1,704 more routes while
	// traffic went on: each gave its watch up after 0.3 s and began it anew, as the
	// others
	// did, and each small change that was told began the next round.
	@Test
	void aFleetHasALargePlanAsSoonAsTheStoreCanSendItToAllTwice() {
		for (int processes : new int[] { 8, 62 }) {
			for (double megabit : new double[] { 100, 300, 1_000 }) {
				long once = (long) (processes * PLAN_BYTES * 8 / (megabit * 1_000));
				PlanStorm storm = new PlanStorm(processes, PLAN_BYTES, megabit, 4, 1);
				Optional<Long> took = storm.untilAllHaveThePlan(60_000);
				String name = processes + " processes, " + megabit + " Mbit/s, once " + once + " ms, sent "
						+ storm.bytes / PLAN_BYTES + " times, given up " + storm.givenUp;
				assertWithMessage(name).that(took.isPresent()).isTrue();
				assertWithMessage(name).that(took.get()).isAtMost(2 * once + 2_000);
			}
		}
	}

	@Test
	void threeHundredProcessesHaveItOverTheLinkOfTheStore() {
		PlanStorm storm = new PlanStorm(300, PLAN_BYTES, 1_000, 4, 1);
		assertThat(storm.untilAllHaveThePlan(10_000).get()).isAtMost(2 * 1_200 + 2_000);
	}

	// Waiting as long as the first time for each answer, none would ever hear one.
	@Test
	void aStoreThatIsSlowToBeginItsAnswersIsWaitedForLongerEachTime() {
		PlanStorm storm = new PlanStorm(8, PLAN_BYTES, 300, 500, 1);
		assertThat(storm.untilAllHaveThePlan(20_000).get()).isAtMost(5_000);
	}

	@Test
	void oneProcessHasAPlanThatTakesLongerThanAnyTimeOfItsCalls() {
		PlanStorm storm = new PlanStorm(1, 1_000_000, 1, 4, 1);
		assertThat(storm.untilAllHaveThePlan(20_000).get()).isAtMost(10_000);
		assertThat(storm.givenUp).isEqualTo(0);
	}

}
