package dev.laneworks.core.configuration;

import java.time.Duration;

/**
 * The times that bound the use of keys without a ticket.
 * <p>
 * A sidecar that becomes the home of a key may decide on it without asking once every
 * other process that took itself for the home must have stopped to, and every try before
 * that lies outside the retry window. So its memory must cover the sum of all these
 * times.
 *
 * @param retryWindow how long after its first try a caller may try again with one key
 * @param viewAge how old a sidecar's confirmed view may be when it decides on a key
 * @param serviceStaleness how old the configuration service's own answer may be
 * @since 0.1
 */
public record KeyTimes(Duration retryWindow, Duration viewAge, Duration serviceStaleness) {

	/** The longest that a request may be under way from an entry to a sidecar. */
	private static final Duration TRANSIT = Duration.ofSeconds(10);

	/**
	 * Return how long a sidecar must remember keys and former views.
	 * @return the time in milliseconds
	 */
	public long memoryMillis() {
		return this.retryWindow.plus(this.viewAge).plus(this.serviceStaleness).plus(TRANSIT).toMillis();
	}

}
