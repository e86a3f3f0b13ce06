package dev.laneworks.entry.direct;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import dev.laneworks.core.time.PauseDetector;
import dev.laneworks.core.time.Timers;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * I/O thread shared by connections and dispatch decisions, with the timers that run on
 * it.
 */
final class EventLoop {

	/** The shortest lateness of a wake-up that is reported; a turn usually takes less. */
	private static final long MIN_LATENESS_MILLIS = 20;

	private final XnioIoThread thread;

	private final Timers timers;

	private final LongSupplier clock;

	private final PauseDetector pauses = new PauseDetector();

	private PauseListener pauseListener = (m, t) -> {
	};

	private LatenessListener latenessListener = (s, t) -> {
	};

	private XnioExecutor.Key wakeUpKey;

	private long wakeUpAt = Long.MAX_VALUE;

	private volatile boolean stopped;

	EventLoop(XnioIoThread thread, Timers timers, LongSupplier clock) {
		this.thread = thread;
		this.timers = timers;
		this.clock = clock;
	}

	Timers timers() {
		return this.timers;
	}

	long now() {
		return this.clock.getAsLong();
	}

	// Set the listener for process pauses, which is called on the thread before the
	// input that ended the pause.
	void onPause(PauseListener listener) {
		this.pauseListener = listener;
	}

	// Set the listener for late wake-ups, which is called before overdue timers run.
	void onLateness(LatenessListener listener) {
		this.latenessListener = listener;
	}

	/**
	 * Start the handling of an input. To be called on the thread before each input: after
	 * a pause, overdue timers run first, so that a call past its deadline gets no further
	 * attempt and expired state is removed.
	 */
	void begin() {
		long now = now();
		long paused = this.pauses.recordHeartbeat(now);
		if (paused > 0) {
			this.pauseListener.paused(paused, now);
			this.timers.run(now);
		}
	}

	// Return the earliest time at which an event received now may have happened;
	// callable from any thread.
	long earliestEventTime() {
		return this.pauses.earliestEventTime(now());
	}

	// Run an action on the thread, and then the timers that are due.
	void run(Runnable action) {
		if (this.stopped) {
			return;
		}
		this.thread.execute(() -> {
			try {
				begin();
				action.run();
			}
			finally {
				runTimers();
			}
		});
	}

	// Run an action after a delay, at most once in each turn of the thread. Timers also
	// run between the inputs of one turn and therefore do not show how long it takes.
	void runInOwnTurn(Runnable action, long delayMillis) {
		this.thread.executeAfter(action, delayMillis, TimeUnit.MILLISECONDS);
	}

	// Run due timers after the current input has been handled.
	void runTimersSoon() {
		if (!this.stopped) {
			this.thread.execute(this::runTimers);
		}
	}

	// Ignore all further actions and timers. The last action runs behind those that are
	// queued now.
	void stop(Runnable last) {
		this.stopped = true;
		this.thread.execute(() -> this.thread.execute(last));
	}

	/**
	 * Run due timers and schedule the next wake-up. To be called on the thread after each
	 * input.
	 */
	void runTimers() {
		if (this.stopped) {
			return;
		}
		try {
			this.timers.run(now());
		}
		finally {
			wakeForNext();
		}
	}

	// Called even if a timer has thrown, so that later timers do not wait for the next
	// input.
	private void wakeForNext() {
		long next = this.timers.nextDue();
		if (next >= this.wakeUpAt || next == Long.MAX_VALUE || this.stopped) {
			return;
		}
		if (this.wakeUpKey != null) {
			this.wakeUpKey.remove();
		}
		this.wakeUpAt = next;
		this.wakeUpKey = this.thread.executeAfter(this::wakeUp, Math.max(1, next - now()), TimeUnit.MILLISECONDS);
	}

	private void wakeUp() {
		long due = this.wakeUpAt;
		this.wakeUpKey = null;
		this.wakeUpAt = Long.MAX_VALUE;
		long now = now();
		if (now - due >= MIN_LATENESS_MILLIS) {
			this.latenessListener.late(due, now);
		}
		begin();
		runTimers();
	}

	/**
	 * Listener for late wake-ups.
	 */
	@FunctionalInterface
	interface LatenessListener {

		/**
		 * Handle a late wake-up.
		 * @param due when it was due, in milliseconds of the monotonic clock
		 * @param now the current time in milliseconds of the monotonic clock
		 */
		void late(long due, long now);

	}

	/**
	 * Listener for pauses of the process.
	 */
	@FunctionalInterface
	interface PauseListener {

		/**
		 * Handle a process pause.
		 * @param millis the length of the pause in milliseconds
		 * @param now the current time in milliseconds of the monotonic clock
		 */
		void paused(long millis, long now);

	}

}
