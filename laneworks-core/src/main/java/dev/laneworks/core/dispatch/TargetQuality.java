package dev.laneworks.core.dispatch;

/**
 * How well a target has answered of late, seen from traffic alone.
 * <p>
 * Good and bad answers fade with time, so that a few failures weigh much on a quiet
 * target and little on a busy one. A target that answers badly is set aside for a while
 * and then tried with a single request. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetQuality {

	/**
	 * The time in which an answer's weight halves, in milliseconds; about as long as a
	 * target's passing fault.
	 */
	private static final double HALF_LIFE_MILLIS = 4_000;

	/** The bad answers, faded, below which a target is not judged. */
	private static final double BAD_TO_JUDGE = 1.7;

	/** How much worse than its peers a target must be; shares of bad answers. */
	private static final double WORSE_THAN_PEERS = 0.25;

	private static final long FIRST_ASIDE_MILLIS = 1_500;

	private static final long MAX_ASIDE_MILLIS = 6_000;

	/** The time after a failed connection in which others are preferred. */
	private static final long UNREACHABLE_MILLIS = 700;

	/** The weight of the newest response time in the average. */
	private static final double NEWEST_WEIGHT = 0.2;

	private double good;

	private double bad;

	private long fadedAt;

	private long asideMillis;

	private long asideUntil;

	private boolean trialUnderWay;

	private double responseMillis;

	/**
	 * Record a good answer.
	 * @param millis the time from sending to the answer, in milliseconds
	 * @param now the time in milliseconds
	 */
	public void recordGood(long millis, long now) {
		fade(now);
		this.good++;
		// What was sent before the target was set aside says nothing of its return.
		if (this.trialUnderWay) {
			this.trialUnderWay = false;
			this.asideMillis = 0;
		}
		this.responseMillis = (this.responseMillis > 0)
				? this.responseMillis + NEWEST_WEIGHT * (millis - this.responseMillis) : millis;
	}

	/**
	 * Record a bad answer or none.
	 * @param peersBadShare the share of bad answers among the target's peers, from 0 to 1
	 * @param now the time in milliseconds
	 * @return whether the target is newly set aside
	 */
	public boolean recordBad(double peersBadShare, long now) {
		fade(now);
		this.bad++;
		boolean failedTrial = this.trialUnderWay;
		this.trialUnderWay = false;
		boolean isWorse = this.bad >= BAD_TO_JUDGE && badShare(now) >= peersBadShare + WORSE_THAN_PEERS;
		if (failedTrial || (isWorse && now >= this.asideUntil)) {
			this.asideMillis = (this.asideMillis != 0) ? Math.min(MAX_ASIDE_MILLIS, this.asideMillis * 2)
					: FIRST_ASIDE_MILLIS;
			this.asideUntil = now + this.asideMillis;
			return true;
		}
		return false;
	}

	/**
	 * Record that no connection could be made.
	 * @param now the time in milliseconds
	 */
	public void recordUnreachable(long now) {
		fade(now);
		this.bad++;
		this.trialUnderWay = false;
		this.asideMillis = Math.max(this.asideMillis, UNREACHABLE_MILLIS);
		this.asideUntil = Math.max(this.asideUntil, now + UNREACHABLE_MILLIS);
	}

	/**
	 * Record that a request was sent.
	 * @param now the time in milliseconds
	 */
	public void recordSent(long now) {
		if (this.asideMillis != 0 && now >= this.asideUntil) {
			this.trialUnderWay = true;
		}
	}

	/**
	 * Return whether the target may be sent a request.
	 * @param now the time in milliseconds
	 * @return {@code false} while it is set aside or on trial
	 */
	public boolean isUsable(long now) {
		return this.asideMillis == 0 || (now >= this.asideUntil && !this.trialUnderWay);
	}

	/**
	 * Return the share of bad answers of late.
	 * @param now the time in milliseconds
	 * @return from 0 to 1; 0 if there were none
	 */
	public double badShare(long now) {
		fade(now);
		double all = this.good + this.bad;
		return (all > 0) ? this.bad / all : 0;
	}

	/**
	 * Return the average response time of late.
	 * @return milliseconds; 0 if there was no answer
	 */
	public double responseMillis() {
		return this.responseMillis;
	}

	private void fade(long now) {
		long elapsed = Math.max(0, now - this.fadedAt);
		this.fadedAt = now;
		double factor = Math.pow(2, -elapsed / HALF_LIFE_MILLIS);
		this.good *= factor;
		this.bad *= factor;
	}

}
