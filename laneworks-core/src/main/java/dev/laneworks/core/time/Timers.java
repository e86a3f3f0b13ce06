package dev.laneworks.core.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Tasks that are due at a time.
 * <p>
 * A task that is not needed any more is left to run and must find that out itself. Not
 * thread-safe.
 *
 * @since 0.2
 */
public final class Timers {

	private static final Comparator<Task> ORDER = Comparator.comparingLong(Task::due).thenComparingLong(Task::number);

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(ORDER);

	private long numbers;

	/**
	 * Add a task.
	 * @param due when it is due, in milliseconds
	 * @param action what to do, given the time
	 */
	public void at(long due, TimedAction action) {
		this.tasks.add(new Task(due, this.numbers++, action));
	}

	/**
	 * Return when the next task is due.
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if there is none
	 */
	public long nextDue() {
		Task next = this.tasks.peek();
		return (next != null) ? next.due() : Long.MAX_VALUE;
	}

	/**
	 * Run all tasks that are due.
	 * @param now the time in milliseconds
	 */
	public void run(long now) {
		while (nextDue() <= now) {
			this.tasks.remove().action().run(now);
		}
	}

	/**
	 * What is done at a time.
	 */
	@FunctionalInterface
	public interface TimedAction {

		/**
		 * Do it.
		 * @param now the time in milliseconds, not before the task was due
		 */
		void run(long now);

	}

	private record Task(long due, long number, TimedAction action) {

	}

}
