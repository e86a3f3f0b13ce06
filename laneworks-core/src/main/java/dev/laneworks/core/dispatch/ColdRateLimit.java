package dev.laneworks.core.dispatch;

/**
 * Limit on the requests that all entries together send to one cold target in any second.
 *
 * @param overage the factor applied to the advertised rate of the target
 * @param slack the number of requests allowed on top
 * @since 0.3
 */
public record ColdRateLimit(double overage, double slack) {

	public ColdRateLimit {
		if (overage < 0 || slack < 0) {
			throw new IllegalArgumentException("overage and slack must not be negative");
		}
	}

	/**
	 * Return the limit for one target.
	 * @param coldPerSecond the requests per second that the cold target advertises
	 * @return the requests per second of all entries together
	 */
	public double requests(double coldPerSecond) {
		return this.overage * coldPerSecond + this.slack;
	}

}
