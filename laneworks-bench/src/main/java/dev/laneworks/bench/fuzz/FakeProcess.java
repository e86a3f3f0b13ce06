package dev.laneworks.bench.fuzz;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Process that can be terminated or paused; inputs that arrive during a pause are handled
 * after it.
 */
abstract class FakeProcess {

	private static final long TICK_INTERVAL_MILLIS = 20;

	private final VirtualTime time;

	private final Deque<Runnable> deferredInputs = new ArrayDeque<>();

	private boolean terminated;

	private long pausedUntil;

	FakeProcess(VirtualTime time) {
		this.time = time;
		time.schedule(TICK_INTERVAL_MILLIS, this::tickPeriodically);
	}

	abstract void tick(long now);

	final void run(Runnable input) {
		if (this.terminated) {
			return;
		}
		if (isPaused()) {
			this.deferredInputs.add(input);
			return;
		}
		input.run();
	}

	final void terminate() {
		this.terminated = true;
	}

	final boolean isTerminated() {
		return this.terminated;
	}

	final boolean isPaused() {
		return this.time.now() < this.pausedUntil;
	}

	final void pause(long millis) {
		this.pausedUntil = Math.max(this.pausedUntil, this.time.now() + millis);
		this.time.schedule(millis, this::runDeferredInputs);
	}

	private void runDeferredInputs() {
		while (!isPaused() && !this.terminated && !this.deferredInputs.isEmpty()) {
			this.deferredInputs.poll().run();
		}
	}

	private void tickPeriodically() {
		if (this.terminated) {
			return;
		}
		if (!isPaused()) {
			tick(this.time.now());
		}
		this.time.schedule(TICK_INTERVAL_MILLIS, this::tickPeriodically);
	}

}
