package dev.laneworks.core.backpressure;

/**
 * Bucket of permits to send one request each, which accrue at a rate and expire if they
 * are not used.
 * <p>
 * A bucket starts with a fraction of a permit, so that processes with a low rate do not
 * all get their permits at the same time.
 */
final class PermitBucket {

	private double accrued;

	private double spent;

	private long accruedAt;

	/**
	 * Create a bucket.
	 * @param initial the initial fraction of a permit, from 0 to 1
	 * @param now the current time in milliseconds
	 */
	PermitBucket(double initial, long now) {
		this.accrued = initial;
		this.accruedAt = now;
	}

	/**
	 * Add the permits for the time since the previous call.
	 * @param perMilli the rate in permits per millisecond
	 * @param lifeMillis the time after which an unused permit expires, in milliseconds
	 * @param now the current time in milliseconds
	 */
	void accrue(double perMilli, double lifeMillis, long now) {
		this.accrued += perMilli * Math.max(0, now - this.accruedAt);
		this.accruedAt = now;
		this.spent = Math.max(this.spent, Math.floor(this.accrued - perMilli * lifeMillis));
	}

	// Uses a permit. If none is available, the next one is owed.
	void spend() {
		this.spent++;
	}

	// The time until the next permit in milliseconds; 0 if one is available.
	double nextInMillis(double perMilli) {
		return Math.max(0, missing()) / perMilli;
	}

	private double missing() {
		return this.spent + 1 - this.accrued;
	}

}
