package dev.laneworks.core.time;

/**
 * Notices that the process was held up, by the gaps between its own signs of life.
 * <p>
 * What a process hears right behind a pause may have happened at any time during it.
 * Whoever counts a time from such an event asks how old it may be. Thread-safe.
 *
 * @since 0.3
 */
public final class PauseDetector {

	/**
	 * The shortest gap between two signs of life that counts as a pause, in milliseconds:
	 * three signs of an idle entry, which gives one each 150 ms since it looks that often
	 * whether the store is silent, and a third of one more. A gap of a busy entry that is
	 * taken for a pause costs streams refused in a stop.
	 */
	private static final long PAUSE_MILLIS = 500;

	/**
	 * For how long behind a pause what is heard may still stem from it, in milliseconds:
	 * the thread that hears it gets its turn among all others that were held up.
	 */
	private static final long AFTER_MILLIS = 1_000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long lastSign = NEVER;

	private long pauseBegan = NEVER;

	private long pauseEnded = NEVER;

	/**
	 * Take a sign of life.
	 * @param now the time in milliseconds
	 * @return how long a pause was that ends with it, in milliseconds; 0 if none does
	 */
	public synchronized long alive(long now) {
		long gap = (this.lastSign != NEVER) ? now - this.lastSign : 0;
		boolean isPause = gap >= PAUSE_MILLIS;
		if (isPause) {
			this.pauseBegan = this.lastSign;
			this.pauseEnded = now;
		}
		this.lastSign = now;
		return isPause ? gap : 0;
	}

	/**
	 * Return when something that is heard now may have happened at the earliest.
	 * @param now the time in milliseconds
	 * @return the beginning of a pause that lasts or has just ended, in milliseconds, or
	 * the time given
	 */
	public synchronized long earliest(long now) {
		if (now - this.pauseEnded <= AFTER_MILLIS) {
			return this.pauseBegan;
		}
		boolean isPaused = this.lastSign != NEVER && now - this.lastSign >= PAUSE_MILLIS;
		return isPaused ? this.lastSign : now;
	}

}
