package dev.laneworks.core.backpressure;

/**
 * Computes the share of this entry in the requests that all entries together may send to
 * a target.
 *
 * @since 0.4
 */
@FunctionalInterface
public interface RateLimitShare {

	/**
	 * Return the share of this entry.
	 * @param service the service of the target
	 * @param now the current time in milliseconds
	 * @return the share, above 0 and up to 1; the shares of all entries add up to about 1
	 */
	double of(String service, long now);

}
