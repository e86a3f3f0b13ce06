package dev.laneworks.core.dispatch;

/**
 * Recent response quality of a target, derived from its traffic, for outlier ejection.
 * <p>
 * The counts of good and failed responses decay exponentially, so that a few failures
 * weigh more on an idle target than on a busy one. A target that performs worse than its
 * peers is ejected for a while and then probed with a single request. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetQuality {

	/**
	 * Half-life of the weight of a response; about as long as a transient fault of a
	 * target lasts.
	 */
	private static final double HALF_LIFE_MILLIS = 4_000;

	/** Minimum decayed count of failed responses for an ejection. */
	private static final double MIN_FAILURES = 1.7;

	/** Minimum excess over the peers' share of failed responses for an ejection. */
	private static final double MIN_EXCESS_OVER_PEERS = 0.25;

	private static final long INITIAL_EJECTION_MILLIS = 1_500;

	private static final long MAX_EJECTION_MILLIS = 6_000;

	/** Time after a failed connection during which other targets are preferred. */
	private static final long UNREACHABLE_MILLIS = 700;

	/** Weight of the newest response time in the moving average. */
	private static final double NEWEST_SAMPLE_WEIGHT = 0.2;

	private double successes;

	private double failures;

	private long decayedAt;

	private long ejectionMillis;

	private long ejectedUntil;

	private boolean probeInProgress;

	private double responseMillis;

	/**
	 * Record a successful response.
	 * @param millis the response time in milliseconds
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordSuccess(long millis, long now) {
		decay(now);
		this.successes++;
		// Responses to requests sent before the ejection do not end it.
		if (this.probeInProgress) {
			this.probeInProgress = false;
			this.ejectionMillis = 0;
		}
		this.responseMillis = (this.responseMillis > 0)
				? this.responseMillis + NEWEST_SAMPLE_WEIGHT * (millis - this.responseMillis) : millis;
	}

	/**
	 * Record a failed or missing response.
	 * @param peersFailureRate the share of failed responses among the target's peers,
	 * from 0 to 1
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if the target is newly ejected
	 */
	public boolean recordFailure(double peersFailureRate, long now) {
		decay(now);
		this.failures++;
		boolean failedProbe = this.probeInProgress;
		this.probeInProgress = false;
		boolean isWorse = this.failures >= MIN_FAILURES && failureRate(now) >= peersFailureRate + MIN_EXCESS_OVER_PEERS;
		if (failedProbe || (isWorse && now >= this.ejectedUntil)) {
			this.ejectionMillis = (this.ejectionMillis != 0) ? Math.min(MAX_EJECTION_MILLIS, this.ejectionMillis * 2)
					: INITIAL_EJECTION_MILLIS;
			this.ejectedUntil = now + this.ejectionMillis;
			return true;
		}
		return false;
	}

	/**
	 * Record that a connection could not be established.
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordUnreachable(long now) {
		decay(now);
		this.failures++;
		this.probeInProgress = false;
		this.ejectionMillis = Math.max(this.ejectionMillis, UNREACHABLE_MILLIS);
		this.ejectedUntil = Math.max(this.ejectedUntil, now + UNREACHABLE_MILLIS);
	}

	/**
	 * Record that a request was sent. The first one after an ejection period is the
	 * probe.
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordSent(long now) {
		if (this.ejectionMillis != 0 && now >= this.ejectedUntil) {
			this.probeInProgress = true;
		}
	}

	/**
	 * Determine whether the target may be sent a request.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code false} while the target is ejected or its probe is in progress
	 */
	public boolean isUsable(long now) {
		return this.ejectionMillis == 0 || (now >= this.ejectedUntil && !this.probeInProgress);
	}

	/**
	 * Return the recent share of failed responses.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the share, from 0 to 1; 0 without responses
	 */
	public double failureRate(long now) {
		decay(now);
		double all = this.successes + this.failures;
		return (all > 0) ? this.failures / all : 0;
	}

	/**
	 * Return the moving average of the response time.
	 * @return the time in milliseconds; 0 without responses
	 */
	public double responseMillis() {
		return this.responseMillis;
	}

	private void decay(long now) {
		long elapsed = Math.max(0, now - this.decayedAt);
		this.decayedAt = now;
		double factor = Math.pow(2, -elapsed / HALF_LIFE_MILLIS);
		this.successes *= factor;
		this.failures *= factor;
	}

}
