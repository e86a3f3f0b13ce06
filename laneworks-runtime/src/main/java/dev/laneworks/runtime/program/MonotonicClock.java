package dev.laneworks.runtime.program;

import java.util.concurrent.TimeUnit;

/**
 * The time that decisions are made by: it never falls, and goes on while the process is
 * paused.
 *
 * @since 0.1
 */
public final class MonotonicClock {

	private MonotonicClock() {
	}

	/**
	 * Return the time.
	 * @return milliseconds since some moment before the process started
	 */
	public static long millis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

}
