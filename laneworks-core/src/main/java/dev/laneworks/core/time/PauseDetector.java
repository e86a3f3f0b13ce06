package dev.laneworks.core.time;

/**
 * Detects pauses of this process by gaps between its own heartbeats.
 * <p>
 * An event that is received right after a pause may have occurred at any time during it.
 * Code that measures a time from such an event determines the earliest possible time
 * here. Thread-safe.
 *
 * @since 0.3
 */
public final class PauseDetector {

	/**
	 * The shortest gap between two heartbeats that counts as a pause, in milliseconds; a
	 * little above three intervals of an idle entry. A gap of a busy entry that counts as
	 * a pause causes streams to be refused during a shutdown.
	 */
	private static final long MIN_PAUSE_MILLIS = 500;

	/**
	 * The time after a pause in which received events may still stem from it, in
	 * milliseconds; covers threads that resume late.
	 */
	private static final long RECOVERY_MILLIS = 1_000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long lastHeartbeat = NEVER;

	private long pauseStart = NEVER;

	private long pauseEnd = NEVER;

	/**
	 * Record a heartbeat.
	 * @param now the current time in milliseconds
	 * @return the length of the pause that it ends, in milliseconds; 0 if there was none
	 */
	public synchronized long recordHeartbeat(long now) {
		long gap = (this.lastHeartbeat != NEVER) ? now - this.lastHeartbeat : 0;
		boolean isPause = gap >= MIN_PAUSE_MILLIS;
		if (isPause) {
			this.pauseStart = this.lastHeartbeat;
			this.pauseEnd = now;
		}
		this.lastHeartbeat = now;
		return isPause ? gap : 0;
	}

	/**
	 * Return the earliest time at which an event that is received now may have occurred.
	 * @param now the current time in milliseconds
	 * @return the start of a current or recent pause in milliseconds; otherwise the
	 * current time
	 */
	public synchronized long earliestEventTime(long now) {
		if (now - this.pauseEnd <= RECOVERY_MILLIS) {
			return this.pauseStart;
		}
		boolean isPaused = this.lastHeartbeat != NEVER && now - this.lastHeartbeat >= MIN_PAUSE_MILLIS;
		return isPaused ? this.lastHeartbeat : now;
	}

}
