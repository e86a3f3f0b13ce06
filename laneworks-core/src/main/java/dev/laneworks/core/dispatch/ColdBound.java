package dev.laneworks.core.dispatch;

/**
 * How far the fleet may go beyond what a cold target is said to bear, in any second.
 *
 * @param overage what its requests a second are multiplied with
 * @param slack the requests that may come on top
 * @since 0.3
 */
public record ColdBound(double overage, double slack) {

	public ColdBound {
		if (overage < 0 || slack < 0) {
			throw new IllegalArgumentException("overage and slack must not be negative");
		}
	}

	/**
	 * Return the requests that one target may be sent in any second.
	 * @param coldPerSecond the requests a second that it is said to bear
	 * @return the requests of all processes together
	 */
	public double requests(double coldPerSecond) {
		return this.overage * coldPerSecond + this.slack;
	}

}
