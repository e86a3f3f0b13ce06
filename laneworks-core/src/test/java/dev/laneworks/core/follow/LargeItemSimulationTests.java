package dev.laneworks.core.follow;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that all processes receive a large item soon when they fetch it at the same time,
 * while small changes arrive from other processes.
 */
class LargeItemSimulationTests {

	private static final long LARGE_BYTES = 500_000;

	// Guards against watches that are restarted for each small change before the large
	// answer has arrived.
	@Test
	void allProcessesReceiveALargeItemInAtMostTwiceItsTransferTime() {
		for (int processes : new int[] { 8, 62 }) {
			for (double megabit : new double[] { 100, 300, 1_000 }) {
				long transferMillis = (long) (processes * LARGE_BYTES * 8 / (megabit * 1_000));
				LargeItemSimulation simulation = new LargeItemSimulation(processes, LARGE_BYTES, megabit, 4, 1);
				Optional<Long> took = simulation.runUntilAllHaveTheLargeItem(60_000);
				String name = processes + " processes, " + megabit + " Mbit/s, transfer time " + transferMillis
						+ " ms, sent " + simulation.bytes / LARGE_BYTES + " times, cancelled " + simulation.cancelled;
				assertWithMessage(name).that(took.isPresent()).isTrue();
				assertWithMessage(name).that(took.get()).isAtMost(2 * transferMillis + 2_000);
			}
		}
	}

	@Test
	void threeHundredProcessesReceiveALargeItem() {
		LargeItemSimulation simulation = new LargeItemSimulation(300, LARGE_BYTES, 1_000, 4, 1);
		assertThat(simulation.runUntilAllHaveTheLargeItem(10_000).get()).isAtMost(2 * 1_200 + 2_000);
	}

	// Guards against a constant timeout below the store's latency, with which no answer
	// would ever arrive.
	@Test
	void waitsLongerEachTimeForAStoreThatIsSlowToAnswer() {
		LargeItemSimulation simulation = new LargeItemSimulation(8, LARGE_BYTES, 300, 500, 1);
		assertThat(simulation.runUntilAllHaveTheLargeItem(20_000).get()).isAtMost(5_000);
	}

	// Guards against readings that are given up and begun again for as long as the store
	// takes longer than the first timeout.
	@Test
	void readsFromAStoreThatIsSlowFromTheStart() {
		LargeItemSimulation simulation = new LargeItemSimulation(8, LARGE_BYTES, 300, 1_500, 1);
		assertThat(simulation.runUntilAllHaveTheLargeItem(20_000).get()).isAtMost(9_000);
	}

	@Test
	void oneProcessReceivesAnItemThatTakesLongerThanItsTimeouts() {
		LargeItemSimulation simulation = new LargeItemSimulation(1, 1_000_000, 1, 4, 1);
		assertThat(simulation.runUntilAllHaveTheLargeItem(20_000).get()).isAtMost(10_000);
		assertThat(simulation.cancelled).isEqualTo(0);
	}

}
