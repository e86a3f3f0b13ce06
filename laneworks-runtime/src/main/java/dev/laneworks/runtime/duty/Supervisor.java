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
 * A supervisor that gives up reports a failure to its parent; the root supervisor calls a
 * handler that usually ends the process, which the platform then replaces. A restarted
 * duty keeps its state and its queue; only the failed command is lost.
 *
 * @since 0.1
 */
public final class Supervisor {

	private final String name;

	private final int maxFailures;

	private final long periodNanos;

	private final Consumer<Throwable> onGiveUp;

	private final Deque<Long> failures = new ArrayDeque<>();

	private final List<Duty<?>> duties = new ArrayList<>();

	private final List<Supervisor> children = new ArrayList<>();

	/**
	 * Create the root supervisor of a tree.
	 * @param name the supervisor's name
	 * @param maxFailures the number of failures tolerated within the period
	 * @param within the period
	 * @param onGiveUp receives the last failure when the limit is exceeded
	 */
	public Supervisor(String name, int maxFailures, Duration within, Consumer<Throwable> onGiveUp) {
		if (maxFailures < 1) {
			throw new IllegalArgumentException("maxFailures must be at least 1 but is " + maxFailures);
		}
		this.name = name;
		this.maxFailures = maxFailures;
		this.periodNanos = within.toNanos();
		this.onGiveUp = onGiveUp;
	}

	/**
	 * Create a child supervisor. Each time it gives up counts as one failure here.
	 * @param childName the last part of the child's name
	 * @param childMaxFailures the number of failures that the child tolerates within the
	 * period
	 * @param within the period
	 * @return the child supervisor
	 */
	public synchronized Supervisor child(String childName, int childMaxFailures, Duration within) {
		Supervisor child = new Supervisor(this.name + '/' + childName, childMaxFailures, within,
				(ex) -> handleFailure(childName, ex));
		this.children.add(child);
		return child;
	}

	/**
	 * Start a duty on a new daemon thread.
	 * @param <S> the type of the duty's state
	 * @param duty the duty, which must not have been started
	 * @return the same duty
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
	 * Stop the duties of this supervisor and of all its descendants.
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
				handleFailure(duty.name(), ex);
			}
		}
	}

	private void handleFailure(String dutyName, Throwable failure) {
		Logger.error(failure, "duty failed: supervisor={} duty={}", this.name, dutyName);
		if (countFailure().isPresent()) {
			Logger.error("supervisor gives up: supervisor={} failures={} last={}", this.name, this.maxFailures + 1,
					failure.toString());
			this.onGiveUp.accept(failure);
		}
	}

	// Returns the number of failures in the period if it exceeds the limit.
	private synchronized Optional<Integer> countFailure() {
		long now = System.nanoTime();
		this.failures.addLast(now);
		while (now - this.failures.peekFirst() > this.periodNanos) {
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
