package dev.laneworks.runtime.duty;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * Single-threaded event loop that owns a state and executes commands on it from a bounded
 * queue.
 * <p>
 * Only the thread of the duty accesses the state. Commands are executed in the order in
 * which they were accepted; between them the duty calls a periodic task, its tick.
 *
 * @param <S> the type of the state
 * @since 0.1
 */
public final class Duty<S> {

	private static final long PUT_RETRY_NANOS = 50_000;

	private final String name;

	private final S state;

	private final MpscBlockingConsumerArrayQueue<Consumer<S>> queue;

	/** Commands that the duty submitted to itself; confined to its thread. */
	private final Deque<Consumer<S>> ownCommands = new ArrayDeque<>();

	private final long tickNanos;

	private final Consumer<S> tick;

	private final LongAdder rejected = new LongAdder();

	private volatile boolean stopped;

	private volatile Thread thread;

	private long nextTick;

	/**
	 * Create a duty; a {@link Supervisor} starts it.
	 * @param name the name of the duty and its thread
	 * @param state the state that the duty owns
	 * @param capacity the capacity of the queue, in commands
	 * @param tickEvery the interval between ticks
	 * @param tick the periodic task
	 */
	public Duty(String name, S state, int capacity, Duration tickEvery, Consumer<S> tick) {
		this.name = Objects.requireNonNull(name, "name must not be null");
		this.state = Objects.requireNonNull(state, "state must not be null");
		this.queue = new MpscBlockingConsumerArrayQueue<>(capacity);
		this.tickNanos = tickEvery.toNanos();
		this.tick = tick;
	}

	/**
	 * Return the name of the duty.
	 * @return the name, which is also the name of its thread
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Submit a command unless the queue is full.
	 * @param command the command, executed on the thread of the duty
	 * @return {@code false} if the queue is full; the rejection is counted
	 */
	public boolean offer(Consumer<S> command) {
		boolean accepted = this.queue.offer(command);
		if (!accepted) {
			this.rejected.increment();
		}
		return accepted;
	}

	/**
	 * Submit a command, blocking while the queue is full.
	 * <p>
	 * Commands that the duty submits to itself are executed before those in the queue,
	 * and submitting them never blocks.
	 * @param command the command; dropped if the duty is stopped while the queue is full
	 */
	public void put(Consumer<S> command) {
		if (Thread.currentThread() == this.thread) {
			this.ownCommands.add(command);
			return;
		}
		while (!this.queue.offer(command)) {
			if (this.stopped) {
				return;
			}
			LockSupport.parkNanos(PUT_RETRY_NANOS);
		}
	}

	/**
	 * Return the number of commands that {@link #offer} rejected.
	 * @return the number since the duty was created
	 */
	public long rejectedCount() {
		return this.rejected.sum();
	}

	/**
	 * Stop the duty after the current command and interrupt its thread.
	 */
	public void stop() {
		this.stopped = true;
		Thread runner = this.thread;
		if (runner != null) {
			runner.interrupt();
		}
	}

	boolean isStopped() {
		return this.stopped;
	}

	void started(Thread runner) {
		this.thread = runner;
		this.nextTick = System.nanoTime();
	}

	void step() throws InterruptedException {
		long wait = this.nextTick - System.nanoTime();
		Consumer<S> command = this.ownCommands.poll();
		if (command == null) {
			command = (wait > 0) ? this.queue.poll(wait, TimeUnit.NANOSECONDS) : this.queue.poll();
		}
		if (command != null) {
			command.accept(this.state);
		}
		long now = System.nanoTime();
		if (now >= this.nextTick) {
			this.nextTick = now + this.tickNanos;
			this.tick.accept(this.state);
		}
	}

}
