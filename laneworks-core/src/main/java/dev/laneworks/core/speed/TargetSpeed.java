package dev.laneworks.core.speed;

import java.util.Locale;
import java.util.Optional;

/**
 * Processing speed of one incarnation of a target: its current slowness as it reports it,
 * and its usual speed as learned from its answers.
 * <p>
 * Reports of other entries are merged by age. Not thread-safe.
 *
 * @since 0.4
 */
public final class TargetSpeed {

	/**
	 * Age up to which own reports are passed on. Older ones have no weight at the
	 * receiver.
	 */
	private static final long MAX_SENT_AGE_MILLIS = 1_000;

	/** Age of the latest report up to which a target counts as reporting its slowness. */
	private static final long REPORTING_MILLIS = 60_000;

	/** Weight of the newest interval; evens out prompts that are read meanwhile. */
	private static final double INTERVAL_WEIGHT = 0.02;

	/** Weight of the newest answer. */
	private static final double RESPONSE_WEIGHT = 0.1;

	/** Time constant by which a former slow phase is forgotten. */
	private static final double PEAK_MILLIS = 60_000;

	private final CurrentSlowness slowness = new CurrentSlowness();

	private final LearnedMean millisPerToken = new LearnedMean(INTERVAL_WEIGHT);

	private final LearnedMean responseMillis = new LearnedMean(RESPONSE_WEIGHT);

	private final LearnedMean millisPerPromptToken = new LearnedMean(RESPONSE_WEIGHT);

	private double peak = 1;

	private long peakAt;

	private long intervalAt = Long.MIN_VALUE / 2;

	private long ownReportAt = Long.MIN_VALUE / 2;

	/**
	 * Record the slowness in an answer of the target.
	 * @param factor the time that work takes relative to the usual time
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordReport(double factor, long now) {
		this.ownReportAt = now;
		record(factor, now);
	}

	private void record(double factor, long reportedAt) {
		if (this.slowness.record(factor, reportedAt) && this.slowness.latest() > slowPhase(reportedAt)) {
			this.peak = this.slowness.latest();
			this.peakAt = reportedAt;
		}
	}

	/**
	 * Record the interval between two events of a stream.
	 * @param millis the interval in milliseconds
	 * @param tokens the number of tokens in an event
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordInterval(long millis, int tokens, long now) {
		if (millis > 0 && tokens > 0) {
			this.millisPerToken.add(millis / (tokens * factor(now)));
			this.intervalAt = now;
		}
	}

	/**
	 * Record the answer of a plain target.
	 * @param millis the response time in milliseconds
	 * @param load the number of requests at the target relative to its slots
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordResponse(long millis, double load, long now) {
		this.responseMillis.add(Math.max(1, millis) / (factor(now) * Math.max(1, load)));
	}

	/**
	 * Record the first event of a generation that started with free memory.
	 * @param millis the time to the event in milliseconds
	 * @param tokens the number of prompt tokens that the engine read until then
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordPrompt(long millis, long tokens, long now) {
		if (tokens > 0) {
			this.millisPerPromptToken.add(Math.max(1, millis) / (tokens * factor(now)));
		}
	}

	/**
	 * Merge the report of another entry; the more recent figure wins.
	 * @param report the report as received
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void merge(SpeedReport report, long now) {
		record(report.slowness(), now - Math.max(0, report.ageMillis()));
		long at = now - Math.max(0, report.intervalAgeMillis());
		if (report.millisPerToken() > 0 && Double.isFinite(report.millisPerToken()) && at > this.intervalAt) {
			this.millisPerToken.replace(report.millisPerToken());
			this.intervalAt = at;
		}
	}

	/**
	 * Return what other entries should know about the target.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the report, or empty unless the target reported to this entry recently
	 */
	public Optional<SpeedReport> report(long now) {
		if (now - this.ownReportAt > MAX_SENT_AGE_MILLIS) {
			return Optional.empty();
		}
		boolean hasInterval = this.millisPerToken.isKnown();
		return Optional.of(new SpeedReport(this.slowness.latest(), this.slowness.ageMillis(now),
				this.millisPerToken.mean(), hasInterval ? now - this.intervalAt : 0));
	}

	/**
	 * Determine whether the target reports its slowness.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if any entry received a report within the last minute
	 */
	public boolean isReporting(long now) {
		return this.slowness.ageMillis(now) <= REPORTING_MILLIS;
	}

	/**
	 * Return the current slowness.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the time that work takes relative to the usual time; 1 if unknown
	 */
	public double factor(long now) {
		return this.slowness.factor(now);
	}

	/**
	 * Return the age of the latest report.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the age in milliseconds; very large if there is none
	 */
	public long ageMillis(long now) {
		return this.slowness.ageMillis(now);
	}

	// The factor of the slowest phase seen recently, at least 1.
	double slowPhase(long now) {
		return 1 + (this.peak - 1) * Math.exp(-Math.max(0, now - this.peakAt) / PEAK_MILLIS);
	}

	LearnedMean millisPerToken() {
		return this.millisPerToken;
	}

	LearnedMean responseMillis() {
		return this.responseMillis;
	}

	LearnedMean millisPerPromptToken() {
		return this.millisPerPromptToken;
	}

	/**
	 * Describe the current slowness for the audit log.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the text, which begins with a comma; empty text without a recent report
	 */
	public String describe(long now) {
		long age = ageMillis(now);
		return (age > CurrentSlowness.MAX_AGE_MILLIS) ? ""
				: String.format(Locale.ROOT, ", slowness %.2f reported %d ms ago", factor(now), age);
	}

}
