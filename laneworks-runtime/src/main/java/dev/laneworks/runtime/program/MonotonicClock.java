package dev.laneworks.runtime.program;

import java.util.concurrent.TimeUnit;

import dev.laneworks.core.time.SuspensionMeter;

/**
 * Monotonic clock for timeouts and decisions.
 * <p>
 * It advances while the process is paused and, after {@link #includeSuspensions()}, also
 * while the machine is suspended. Thread-safe.
 *
 * @since 0.1
 */
public final class MonotonicClock {

	private static final SuspensionMeter SUSPENSION_METER = new SuspensionMeter(MonotonicClock::steadyMillis,
			System::currentTimeMillis);

	private MonotonicClock() {
	}

	/**
	 * Return the current time.
	 * @return the time in milliseconds since an arbitrary origin
	 */
	public static long millis() {
		return SUSPENSION_METER.millis();
	}

	/**
	 * Include suspensions of the machine from now on, if the operating system has a clock
	 * for it. The first call loads a native library and should be the last step of a
	 * start.
	 */
	public static void includeSuspensions() {
		BootClock.open().ifPresent((c) -> SUSPENSION_METER.useBootClock(c::millis));
	}

	/**
	 * Check for a suspension that no jump of the time of day revealed. To be called
	 * periodically.
	 */
	public static void detectSuspension() {
		SUSPENSION_METER.readBootClock();
	}

	/**
	 * Return the total duration of the suspensions that were included.
	 * @return the duration in milliseconds
	 */
	public static long suspendedMillis() {
		return SUSPENSION_METER.suspendedMillis();
	}

	private static long steadyMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

}
