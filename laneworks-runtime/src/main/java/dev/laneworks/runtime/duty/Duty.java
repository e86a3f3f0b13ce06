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
 * One thread that owns a state and works off a bounded ring of commands on it.
 * <p>
 * Nothing else touches the state. Commands run in the order in which they were taken in;
 * between them the duty ticks.
 *
 * @param <S> the type of state
 * @since 0.1
 */
public final class Duty<S> {

	private static final long PUT_WAIT_NANOS = 50_000;

	private final String name;

	private final S state;

	private final MpscBlockingConsumerArrayQueue<Consumer<S>> ring;

	/** The commands that the duty gave itself; only its own thread looks at them. */
	private final Deque<Consumer<S>> own = new ArrayDeque<>();

	private final long tickNanos;

	private final Consumer<S> tick;

	private final LongAdder turnedAway = new LongAdder();

	private volatile boolean stopped;

	private volatile Thread thread;

	private long nextTick;

	/**
	 * Create a duty; a {@link Supervisor} starts it.
	 * @param name the thread's name
	 * @param state what the duty owns
	 * @param capacity the most commands that wait
	 * @param tickEvery the time between ticks
	 * @param tick what the duty does between commands
	 */
	public Duty(String name, S state, int capacity, Duration tickEvery, Consumer<S> tick) {
		this.name = Objects.requireNonNull(name, "name must not be null");
		this.state = Objects.requireNonNull(state, "state must not be null");
		this.ring = new MpscBlockingConsumerArrayQueue<>(capacity);
		this.tickNanos = tickEvery.toNanos();
		this.tick = tick;
	}

	/**
	 * Return the duty's name.
	 * @return the name of its thread
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Give the duty a command unless its ring is full.
	 * @param command the command
	 * @return {@code false} if the ring is full; the refusal is counted
	 */
	public boolean offer(Consumer<S> command) {
		boolean taken = this.ring.offer(command);
		if (!taken) {
			this.turnedAway.increment();
		}
		return taken;
	}

	/**
	 * Give the duty a command, holding up the calling thread while the ring is full.
	 * <p>
	 * The duty itself may give itself commands too; they run before those in the ring and
	 * never hold it up.
	 * @param command the command
	 */
	public void put(Consumer<S> command) {
		if (Thread.currentThread() == this.thread) {
			this.own.add(command);
			return;
		}
		while (!this.ring.offer(command)) {
			if (this.stopped) {
				return;
			}
			LockSupport.parkNanos(PUT_WAIT_NANOS);
		}
	}

	/**
	 * Return how many commands wait.
	 * @return the count
	 */
	public int waiting() {
		return this.ring.size();
	}

	/**
	 * Return how many commands were turned away because the ring was full.
	 * @return the count since the start
	 */
	public long turnedAway() {
		return this.turnedAway.sum();
	}

	/**
	 * End the duty after the command it is working on.
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
		Consumer<S> command = this.own.poll();
		if (command == null) {
			command = (wait > 0) ? this.ring.poll(wait, TimeUnit.NANOSECONDS) : this.ring.poll();
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
