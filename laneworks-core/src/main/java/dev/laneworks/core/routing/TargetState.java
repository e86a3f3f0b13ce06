package dev.laneworks.core.routing;

import dev.laneworks.core.message.LoadReport;
import dev.laneworks.core.retry.TargetHealth;

/**
 * What an entry believes of one target.
 * <p>
 * The last report ages; what this entry has sent since then is added to it. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class TargetState {

	private TargetHealth health = new TargetHealth();

	private LoadReport report = new LoadReport(0, 0, 0, 0, false);

	private long reportedAt = Long.MIN_VALUE / 2;

	private int sentSinceReport;

	private int inFlight;

	private boolean leaving;

	private boolean linked;

	/**
	 * Return the record of the target's failures.
	 * @return the health
	 */
	public TargetHealth health() {
		return this.health;
	}

	/**
	 * Return the last report.
	 * @return the report, all zero before the first
	 */
	public LoadReport report() {
		return this.report;
	}

	/**
	 * Return how old the last report is.
	 * @param now the time in milliseconds
	 * @return the age in milliseconds
	 */
	public long reportAgeMillis(long now) {
		return now - this.reportedAt;
	}

	/**
	 * Return the requests sent since the last report.
	 * @return the count
	 */
	public int sentSinceReport() {
		return this.sentSinceReport;
	}

	/**
	 * Return this entry's requests under way.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Return whether the target takes no new work, as far as is known.
	 * @return {@code true} if its sidecar said so, which follows the platform's list
	 */
	public boolean isLeaving() {
		return this.leaving;
	}

	/**
	 * Record a report at first hand.
	 * @param loadReport the report
	 * @param now the time in milliseconds
	 */
	public void recordReport(LoadReport loadReport, long now) {
		this.report = loadReport;
		this.reportedAt = now;
		this.sentSinceReport = 0;
		this.leaving = loadReport.leaving();
	}

	/**
	 * Record that the sidecar refused work because it leaves.
	 */
	public void recordLeaving() {
		this.leaving = true;
	}

	/**
	 * Record that the link to the target's sidecar is up.
	 * @param newIncarnation whether another process answered than the last time; what was
	 * said of the old one is void
	 */
	public void recordLinkUp(boolean newIncarnation) {
		this.linked = true;
		if (newIncarnation) {
			this.leaving = false;
			this.health = new TargetHealth();
		}
	}

	/**
	 * Record that the link to the target's sidecar is down.
	 */
	public void recordLinkDown() {
		this.linked = false;
	}

	/**
	 * Return whether the link to the target's sidecar is up.
	 * @return {@code true} if a request can be sent at once
	 */
	public boolean isLinked() {
		return this.linked;
	}

	/**
	 * Record that a request was sent.
	 */
	public void recordSent() {
		this.sentSinceReport++;
		this.inFlight++;
		this.health.recordSent();
	}

	/**
	 * Record that a request is no longer under way.
	 */
	public void recordDone() {
		this.inFlight = Math.max(0, this.inFlight - 1);
	}

}
