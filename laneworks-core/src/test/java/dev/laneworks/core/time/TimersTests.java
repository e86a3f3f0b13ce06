package dev.laneworks.core.time;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Timers}.
 */
class TimersTests {

	@Test
	void runsDueTasksInOrderOfTimeAndThenOfScheduling() {
		Timers timers = new Timers();
		List<String> ran = new ArrayList<>();
		timers.schedule(20, (t) -> ran.add("late"));
		timers.schedule(10, (t) -> ran.add("first"));
		timers.schedule(10, (t) -> ran.add("second"));
		assertThat(timers.nextDue()).isEqualTo(10);
		timers.run(15);
		assertThat(ran).containsExactly("first", "second").inOrder();
		assertThat(timers.nextDue()).isEqualTo(20);
	}

	@Test
	void runsTaskThatADueTaskSchedulesForNow() {
		Timers timers = new Timers();
		List<String> ran = new ArrayList<>();
		timers.schedule(10, (t) -> timers.schedule(t, (u) -> ran.add("added")));
		timers.run(10);
		assertThat(ran).containsExactly("added");
		assertThat(timers.nextDue()).isEqualTo(Long.MAX_VALUE);
	}

}
