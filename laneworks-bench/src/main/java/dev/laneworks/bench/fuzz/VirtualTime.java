package dev.laneworks.bench.fuzz;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Scheduler that runs tasks in order of their due times on a virtual clock in
 * milliseconds.
 */
final class VirtualTime {

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::at).thenComparingLong(Task::number));

	private long now = 1_000_000;

	private long count;

	long now() {
		return this.now;
	}

	void schedule(long millis, Runnable action) {
		this.tasks.add(new Task(this.now + Math.max(0, millis), this.count++, action));
	}

	void advance(long millis) {
		long end = this.now + millis;
		while (!this.tasks.isEmpty() && this.tasks.peek().at() <= end) {
			Task task = this.tasks.poll();
			this.now = task.at();
			task.action().run();
		}
		this.now = end;
	}

	private record Task(long at, long number, Runnable action) {

	}

}
