package dev.laneworks.core.backpressure;

/**
 * Permits to send one request each, which come at a rate and lapse if they are not used.
 * <p>
 * A bucket begins with a part of a permit, so that those of many processes, each of which
 * has a permit once in a long while, don't get it at the same time.
 */
final class PermitBucket {

	private double accrued;

	private double spent;

	private long at;

	/**
	 * Create a bucket.
	 * @param begun the part of the first permit that is there already, from 0 to 1
	 * @param now the time in milliseconds
	 */
	PermitBucket(double begun, long now) {
		this.accrued = begun;
		this.at = now;
	}

	/**
	 * Take that time has passed.
	 * @param perMilli the permits that came in each millisecond of it
	 * @param lifeMillis after how many milliseconds a permit that is not used lapses
	 * @param now the time in milliseconds
	 */
	void accrue(double perMilli, double lifeMillis, long now) {
		this.accrued += perMilli * Math.max(0, now - this.at);
		this.at = now;
		this.spent = Math.max(this.spent, Math.floor(this.accrued - perMilli * lifeMillis));
	}

	// Takes a permit; where none is there the next ones are owed.
	void take() {
		this.spent++;
	}

	// When the next permit is there, in milliseconds; 0 if one is.
	double nextInMillis(double perMilli) {
		return Math.max(0, missing()) / perMilli;
	}

	private double missing() {
		return this.spent + 1 - this.accrued;
	}

}
