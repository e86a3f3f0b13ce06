package dev.laneworks.bench.fuzz;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A process that can die, and can be paused and wake up late with all that came
 * meanwhile.
 */
abstract class FakeProcess {

	private static final long TICK_MILLIS = 20;

	private final VirtualTime time;

	private final Deque<Runnable> whilePaused = new ArrayDeque<>();

	private boolean dead;

	private long pausedUntil;

	FakeProcess(VirtualTime time) {
		this.time = time;
		time.after(TICK_MILLIS, this::tickOn);
	}

	abstract void tick(long now);

	final void run(Runnable input) {
		if (this.dead) {
			return;
		}
		if (isPaused()) {
			this.whilePaused.add(input);
			return;
		}
		input.run();
	}

	final void die() {
		this.dead = true;
	}

	final boolean isDead() {
		return this.dead;
	}

	final boolean isPaused() {
		return this.time.now() < this.pausedUntil;
	}

	final void pause(long millis) {
		this.pausedUntil = Math.max(this.pausedUntil, this.time.now() + millis);
		this.time.after(millis, this::wake);
	}

	private void wake() {
		while (!isPaused() && !this.dead && !this.whilePaused.isEmpty()) {
			this.whilePaused.poll().run();
		}
	}

	private void tickOn() {
		if (this.dead) {
			return;
		}
		if (!isPaused()) {
			tick(this.time.now());
		}
		this.time.after(TICK_MILLIS, this::tickOn);
	}

}
