package dev.laneworks.core.ingress;

/**
 * Estimate of how long an event waits for an event loop, from how late periodic probes
 * run on it.
 * <p>
 * A probe runs once in each turn of the loop, so that under load it is late by the
 * duration of a turn. An event that arrives in that time waits for the rest of the turn
 * and for its place in the next one, which together last one turn on average. The
 * estimate is the mean wait of recent events, weighted by time. A long pause of the
 * process is not load and does not count, except if pauses repeat. Not thread-safe.
 *
 * @since 0.4
 */
public final class LoopDelay {

	/**
	 * Time constant of the mean, in milliseconds. An overloaded loop comes to be late by
	 * a goal of 200 ms within half a second, so that a mean over 500 ms answers most
	 * accepted requests late.
	 */
	private static final double SMOOTHING_MILLIS = 50;

	/** Shortest delay that is a pause of the process, in milliseconds. */
	private static final long MIN_PAUSE_MILLIS = 500;

	/** Time in milliseconds within which a second pause counts as load. */
	private static final long PAUSE_REPETITION_MILLIS = 5_000;

	/**
	 * Age in milliseconds from which a mean without a new probe is not used. Applies if
	 * the clock was set back or probes have stopped.
	 */
	private static final long MAX_AGE_MILLIS = 2_000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private double meanWait;

	private long probedAt = NEVER;

	private long nextDue = Long.MAX_VALUE;

	private long pausedAt = NEVER;

	/**
	 * Record that a probe runs now.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @param nextProbeDue the time at which the next probe is due, in milliseconds of the
	 * monotonic clock
	 */
	public void recordProbe(long now, long nextProbeDue) {
		long late = lateMillis(now);
		this.meanWait = (now < this.probedAt) ? 0 : estimate(late, now);
		if (late >= MIN_PAUSE_MILLIS) {
			this.pausedAt = now;
		}
		this.probedAt = now;
		this.nextDue = nextProbeDue;
	}

	/**
	 * Return the mean wait of an event, including that for a probe which is overdue now.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the wait in milliseconds; 0 if the last probe is too old
	 */
	public double millis(long now) {
		return isCurrent(now) ? estimate(lateMillis(now), now) : 0;
	}

	/**
	 * Return the time since the last probe.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the age in milliseconds
	 */
	public long ageMillis(long now) {
		return now - this.probedAt;
	}

	private boolean isCurrent(long now) {
		long age = ageMillis(now);
		return age >= 0 && age <= MAX_AGE_MILLIS;
	}

	private long lateMillis(long now) {
		return Math.max(0, now - this.nextDue);
	}

	private double estimate(long late, long now) {
		if (late >= MIN_PAUSE_MILLIS && now - this.pausedAt > PAUSE_REPETITION_MILLIS + late) {
			return 0;
		}
		long punctual = Math.max(0, now - late - this.probedAt);
		double lateWeight = 1 - Math.exp(-late / SMOOTHING_MILLIS);
		double before = this.meanWait * Math.exp(-punctual / SMOOTHING_MILLIS);
		return before + lateWeight * (late - before);
	}

}
