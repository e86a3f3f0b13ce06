package dev.laneworks.core.time;

import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Clock that adds the time for which the machine was suspended to the monotonic clock,
 * which excludes it.
 * <p>
 * Without it, data that became stale during a suspension would seem fresh. A jump of the
 * wall clock against the monotonic clock triggers a reading of a third clock, the boot
 * clock, which includes suspensions. The jump alone proves nothing, since the wall clock
 * is also adjusted. A reading of the time thus usually needs only two cheap clocks.
 * Thread-safe.
 *
 * @since 0.4
 */
public final class SuspensionMeter {

	/**
	 * The jump of the wall clock that triggers a reading of the boot clock, in
	 * milliseconds. Slow correction of the wall clock takes at least a hundred seconds to
	 * reach it.
	 */
	private static final long MIN_JUMP_MILLIS = 50;

	/** The shortest suspension that counts, in milliseconds. */
	private static final long MIN_SUSPENSION_MILLIS = 20;

	/**
	 * The longest time between the two readings of the monotonic clock around one of the
	 * boot clock, in milliseconds. A delay of the thread between them would be counted as
	 * a suspension.
	 */
	private static final long MAX_READING_MILLIS = 5;

	/** The most attempts to read both clocks close enough to each other. */
	private static final int MAX_ATTEMPTS = 10;

	private final LongSupplier monotonic;

	private final LongSupplier wallClock;

	private Optional<LongSupplier> bootClock = Optional.empty();

	/** The offset of the boot clock from the monotonic clock without suspensions. */
	private long bootOffset;

	private volatile long wallOffset;

	private volatile long suspensionMillis;

	/**
	 * Create a meter that measures no suspension until it has a boot clock.
	 * @param monotonic the monotonic clock, in milliseconds
	 * @param wallClock the wall clock, in milliseconds
	 */
	public SuspensionMeter(LongSupplier monotonic, LongSupplier wallClock) {
		this.monotonic = Objects.requireNonNull(monotonic, "monotonic must not be null");
		this.wallClock = Objects.requireNonNull(wallClock, "wallClock must not be null");
		this.wallOffset = wallClock.getAsLong() - monotonic.getAsLong();
	}

	/**
	 * Measure suspensions from now on.
	 * @param clock a monotonic clock that includes suspensions, in milliseconds
	 */
	public synchronized void useBootClock(LongSupplier clock) {
		this.bootClock = Optional.of(clock);
		this.bootOffset = offset(clock).orElse(clock.getAsLong() - this.monotonic.getAsLong()) - this.suspensionMillis;
	}

	/**
	 * Return the current time.
	 * @return the time of the monotonic clock plus all measured suspensions, in
	 * milliseconds
	 */
	public long millis() {
		long now = this.monotonic.getAsLong();
		long jump = this.wallClock.getAsLong() - now - this.wallOffset;
		if (Math.abs(jump) < MIN_JUMP_MILLIS) {
			return now + this.suspensionMillis;
		}
		readBootClock();
		return this.monotonic.getAsLong() + this.suspensionMillis;
	}

	/**
	 * Read the boot clock. Must be called periodically, since an adjustment of the wall
	 * clock may hide a suspension.
	 */
	public synchronized void readBootClock() {
		this.wallOffset = this.wallClock.getAsLong() - this.monotonic.getAsLong();
		this.bootClock.flatMap(this::offset).ifPresent((offset) -> {
			long total = offset - this.bootOffset;
			if (total - this.suspensionMillis >= MIN_SUSPENSION_MILLIS) {
				this.suspensionMillis = total;
			}
		});
	}

	/**
	 * Return the total time of measured suspensions.
	 * @return the time in milliseconds
	 */
	public long suspendedMillis() {
		return this.suspensionMillis;
	}

	private Optional<Long> offset(LongSupplier clock) {
		for (int i = 0; i < MAX_ATTEMPTS; i++) {
			long before = this.monotonic.getAsLong();
			long read = clock.getAsLong();
			if (this.monotonic.getAsLong() - before <= MAX_READING_MILLIS) {
				return Optional.of(read - before);
			}
		}
		return Optional.empty();
	}

}
