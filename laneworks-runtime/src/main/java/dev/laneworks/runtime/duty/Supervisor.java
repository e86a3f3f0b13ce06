package dev.laneworks.runtime.duty;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.tinylog.Logger;

/**
 * Starts duties, restarts those that fail, and gives up when they fail too often.
 * <p>
 * A supervisor that gives up tells its parent; the one at the root ends the process,
 * which the platform replaces. A restarted duty keeps its state and its ring: the command
 * that failed is lost.
 *
 * @since 0.1
 */
public final class Supervisor {

	private final String name;

	private final int maxFailures;

	private final long withinNanos;

	private final Consumer<Throwable> giveUp;

	private final Deque<Long> failures = new ArrayDeque<>();

	private final List<Duty<?>> duties = new ArrayList<>();

	private final List<Supervisor> children = new ArrayList<>();

	/**
	 * Create a supervisor at the root of a tree.
	 * @param name the supervisor's name
	 * @param maxFailures the failures allowed within the time
	 * @param within the time
	 * @param giveUp what to do when there are more
	 */
	public Supervisor(String name, int maxFailures, Duration within, Consumer<Throwable> giveUp) {
		if (maxFailures < 1) {
			throw new IllegalArgumentException("maxFailures must be at least 1 but is " + maxFailures);
		}
		this.name = name;
		this.maxFailures = maxFailures;
		this.withinNanos = within.toNanos();
		this.giveUp = giveUp;
	}

	/**
	 * Create a supervisor below this one; its giving up counts as one failure here.
	 * @param childName the name of the new supervisor
	 * @param childMaxFailures the failures allowed within the time
	 * @param within the time
	 * @return the new supervisor
	 */
	public synchronized Supervisor child(String childName, int childMaxFailures, Duration within) {
		Supervisor child = new Supervisor(this.name + '/' + childName, childMaxFailures, within,
				(ex) -> failed(childName, ex));
		this.children.add(child);
		return child;
	}

	/**
	 * Start a duty on a thread of its own.
	 * @param <S> the type of its state
	 * @param duty the duty
	 * @return the duty
	 */
	public synchronized <S> Duty<S> start(Duty<S> duty) {
		this.duties.add(duty);
		Thread thread = new Thread(() -> run(duty), duty.name());
		thread.setDaemon(true);
		duty.started(thread);
		thread.start();
		return duty;
	}

	/**
	 * End all duties below this supervisor.
	 */
	public synchronized void stop() {
		this.children.forEach(Supervisor::stop);
		this.duties.forEach(Duty::stop);
	}

	private void run(Duty<?> duty) {
		while (!duty.isStopped()) {
			try {
				duty.step();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			catch (RuntimeException | Error ex) {
				failed(duty.name(), ex);
			}
		}
	}

	private void failed(String dutyName, Throwable failure) {
		Logger.error(failure, "duty failed: supervisor={} duty={}", this.name, dutyName);
		if (recordFailure().isPresent()) {
			Logger.error("supervisor gives up: supervisor={} failures={} last={}", this.name, this.maxFailures + 1,
					failure.toString());
			this.giveUp.accept(failure);
		}
	}

	// Returns the count of failures if it is over the limit.
	private synchronized Optional<Integer> recordFailure() {
		long now = System.nanoTime();
		this.failures.addLast(now);
		while (now - this.failures.peekFirst() > this.withinNanos) {
			this.failures.removeFirst();
		}
		if (this.failures.size() <= this.maxFailures) {
			return Optional.empty();
		}
		int count = this.failures.size();
		this.failures.clear();
		return Optional.of(count);
	}

}
