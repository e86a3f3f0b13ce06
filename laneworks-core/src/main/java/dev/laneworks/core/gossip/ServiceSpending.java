package dev.laneworks.core.gossip;

import java.util.Objects;

/**
 * The requests to a service that one entry saw, or several saw, in the retry budget's
 * window, and the sendings repeated for them.
 *
 * @param service the service's name
 * @param requests the requests of callers
 * @param repeats the sendings beyond the first of each request
 * @since 0.2
 */
public record ServiceSpending(String service, int requests, int repeats) {

	public ServiceSpending {
		Objects.requireNonNull(service, "service must not be null");
	}

	/**
	 * Return the sum of this spending and other spending on the same service.
	 * @param other the other spending
	 * @return the sum
	 */
	public ServiceSpending plus(ServiceSpending other) {
		return new ServiceSpending(this.service, this.requests + other.requests, this.repeats + other.repeats);
	}

}
