package dev.laneworks.runtime.program;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.sun.jna.Memory;
import com.sun.jna.Native;
import com.sun.jna.Pointer;
import dev.laneworks.runtime.log.LogLine;

/**
 * Reader of Linux's {@code CLOCK_BOOTTIME}, a monotonic clock that also advances while
 * the machine is suspended. Not thread-safe.
 */
final class BootClock {

	/** Clock id from {@code linux/time.h}. */
	private static final int BOOTTIME_CLOCK_ID = 7;

	/** Size of a {@code timespec} with two 64-bit members. */
	private static final int TIMESPEC_BYTES = 16;

	private static final int NANOS_OFFSET = 8;

	private final Memory timespec = new Memory(TIMESPEC_BYTES);

	private BootClock() {
	}

	/**
	 * Open the clock; log a warning if it is not available.
	 * @return the clock; empty if the operating system or the native library lacks it
	 */
	static Optional<BootClock> open() {
		try {
			Native.register(BootClock.class, "c");
			BootClock clock = new BootClock();
			if (clock_gettime(BOOTTIME_CLOCK_ID, clock.timespec) == 0) {
				return Optional.of(clock);
			}
			logUnavailable("the operating system does not provide CLOCK_BOOTTIME");
		}
		catch (LinkageError | RuntimeException ex) {
			logUnavailable(ex.toString());
		}
		return Optional.empty();
	}

	long millis() {
		clock_gettime(BOOTTIME_CLOCK_ID, this.timespec);
		return TimeUnit.SECONDS.toMillis(this.timespec.getLong(0))
				+ TimeUnit.NANOSECONDS.toMillis(this.timespec.getLong(NANOS_OFFSET));
	}

	private static void logUnavailable(String cause) {
		LogLine.of("no-boot-clock")
			.with("cause", cause)
			.with("outcome", "time in which the machine is suspended is not counted")
			.warn();
	}

	// JNA binds this method to the C library's function of the same name.
	private static native int clock_gettime(int clock, Pointer timespec);

}
