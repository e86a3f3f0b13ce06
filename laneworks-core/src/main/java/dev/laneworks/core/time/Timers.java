package dev.laneworks.core.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Queue of tasks by due time, for code that does not read a clock.
 * <p>
 * A task cannot be cancelled and must itself determine whether it is still needed. Not
 * thread-safe.
 *
 * @since 0.2
 */
public final class Timers {

	private static final Comparator<Task> ORDER = Comparator.comparingLong(Task::due).thenComparingLong(Task::number);

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(ORDER);

	private long nextNumber;

	/**
	 * Schedule a task.
	 * @param due the due time in milliseconds
	 * @param action the action to run
	 */
	public void schedule(long due, TimedAction action) {
		this.tasks.add(new Task(due, this.nextNumber++, action));
	}

	/**
	 * Return the time of the next task.
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if there is none
	 */
	public long nextDue() {
		Task next = this.tasks.peek();
		return (next != null) ? next.due() : Long.MAX_VALUE;
	}

	/**
	 * Run all tasks that are due, in the order of their due times and then of their
	 * scheduling.
	 * @param now the current time in milliseconds
	 */
	public void run(long now) {
		while (nextDue() <= now) {
			this.tasks.remove().action().run(now);
		}
	}

	/**
	 * Action that receives the time at which it runs.
	 */
	@FunctionalInterface
	public interface TimedAction {

		/**
		 * Run the action.
		 * @param now the current time in milliseconds, at or after the due time
		 */
		void run(long now);

	}

	private record Task(long due, long number, TimedAction action) {

	}

}
