package dev.laneworks.core.serving;

import java.util.Objects;

/**
 * Service of a route with its relative share of the requests.
 *
 * @param service the service's name
 * @param weight the share relative to the other services of the route; not negative
 * @since 0.2
 */
public record WeightedService(String service, double weight) {

	public WeightedService {
		Objects.requireNonNull(service, "service must not be null");
		if (!(weight >= 0)) {
			throw new IllegalArgumentException("weight must not be negative but is " + weight);
		}
	}

}
