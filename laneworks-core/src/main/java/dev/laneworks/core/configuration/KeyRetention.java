package dev.laneworks.core.configuration;

import java.time.Duration;

/**
 * The periods that bound the use of idempotency keys without a ticket.
 * <p>
 * A sidecar that becomes the home of a key may decide on it alone only after every
 * earlier home must have stopped doing so and all earlier attempts are outside the retry
 * window. It must therefore retain keys for the sum of these periods.
 *
 * @param retryWindow how long after its first attempt a caller may retry with the same
 * key
 * @param viewAge the maximum age of a sidecar's confirmed view when it decides on a key
 * @param serviceStaleness the maximum age of the configuration service's answer
 * @since 0.1
 */
public record KeyRetention(Duration retryWindow, Duration viewAge, Duration serviceStaleness) {

	/** The longest transit of a request from an entry to a sidecar. */
	private static final Duration TRANSIT = Duration.ofSeconds(10);

	/**
	 * Return how long a sidecar must retain keys and former views.
	 * @return the time in milliseconds
	 */
	public long retentionMillis() {
		return this.retryWindow.plus(this.viewAge).plus(this.serviceStaleness).plus(TRANSIT).toMillis();
	}

}
