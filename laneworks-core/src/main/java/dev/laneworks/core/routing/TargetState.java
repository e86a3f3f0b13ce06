package dev.laneworks.core.routing;

import dev.laneworks.core.message.LoadReport;
import dev.laneworks.core.retry.TargetHealth;

/**
 * Recorded state of one target at an entry.
 * <p>
 * The latest load report becomes stale, so that requests sent since then are counted in
 * addition. Not thread-safe.
 *
 * @since 0.1
 */
public final class TargetState {

	private TargetHealth health = new TargetHealth();

	private LoadReport report = new LoadReport(0, 0, 0, 0, false);

	private long reportedAt = Long.MIN_VALUE / 2;

	private int sentSinceReport;

	private int inFlight;

	private boolean draining;

	private boolean linked;

	/**
	 * Return the record of failures of the target.
	 * @return the health
	 */
	public TargetHealth health() {
		return this.health;
	}

	/**
	 * Return the latest load report.
	 * @return the report; all zero before the first one
	 */
	public LoadReport report() {
		return this.report;
	}

	/**
	 * Return the age of the latest load report.
	 * @param now the current time in milliseconds
	 * @return the age in milliseconds
	 */
	public long reportAgeMillis(long now) {
		return now - this.reportedAt;
	}

	/**
	 * Return the number of requests sent since the latest load report.
	 * @return the count
	 */
	public int sentSinceReport() {
		return this.sentSinceReport;
	}

	/**
	 * Return the number of requests of this entry in progress at the target.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Determine whether the target is draining.
	 * @return {@code true} if its sidecar reported so, which follows the list of the
	 * platform
	 */
	public boolean isDraining() {
		return this.draining;
	}

	/**
	 * Record a load report that the target sent to this entry.
	 * @param loadReport the report
	 * @param now the current time in milliseconds
	 */
	public void recordReport(LoadReport loadReport, long now) {
		this.report = loadReport;
		this.reportedAt = now;
		this.sentSinceReport = 0;
		this.draining = loadReport.leaving();
	}

	/** Record that the sidecar rejected a request because the target is draining. */
	public void recordDraining() {
		this.draining = true;
	}

	/**
	 * Record that the link to the sidecar of the target is up.
	 * @param newIncarnation whether the process differs from the previous one, whose
	 * health and draining state are discarded
	 */
	public void recordLinkUp(boolean newIncarnation) {
		this.linked = true;
		if (newIncarnation) {
			this.draining = false;
			this.health = new TargetHealth();
		}
	}

	/** Record that the link to the sidecar of the target is down. */
	public void recordLinkDown() {
		this.linked = false;
	}

	/**
	 * Determine whether the link to the sidecar of the target is up.
	 * @return {@code true} if a request can be sent immediately
	 */
	public boolean isLinked() {
		return this.linked;
	}

	/** Record that a request was sent. */
	public void recordSent() {
		this.sentSinceReport++;
		this.inFlight++;
		this.health.recordSent();
	}

	/** Record that a request is no longer in progress. */
	public void recordCompleted() {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

}
