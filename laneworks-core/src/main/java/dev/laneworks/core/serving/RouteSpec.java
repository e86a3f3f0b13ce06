package dev.laneworks.core.serving;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Route that maps requests of a host and path prefix to services, with their limits.
 *
 * @param name the route's name
 * @param host the host name of matching requests
 * @param prefix the path prefix of matching requests; starts and ends with a slash
 * @param kind the kind of the requests, which determines whether they may be repeated
 * @param timeoutMillis the maximum duration of a request, in milliseconds; positive
 * @param goalMillis the response-time goal, in milliseconds
 * @param eventIntervalGoalMillis the goal for the longest pause between events, in
 * milliseconds; 0 if answers are not streams
 * @param priority the priority of its requests, 0 being the highest; that of the client
 * account if it has one
 * @param routePriority the priority of the route itself, which orders the requests of
 * client accounts of the same priority
 * @param maxAttempts the maximum number of targets that one request may run on
 * @param open whether requests are accepted without a key
 * @param services the services that answer the requests, at least one
 * @param regions the regions in which requests may be served
 * @since 0.2
 */
public record RouteSpec(String name, String host, String prefix, RequestKind kind, long timeoutMillis, long goalMillis,
		long eventIntervalGoalMillis, int priority, int routePriority, int maxAttempts, boolean open,
		List<WeightedService> services, AllowedRegions regions) {

	public RouteSpec {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(host, "host must not be null");
		Objects.requireNonNull(prefix, "prefix must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(regions, "regions must not be null");
		services = List.copyOf(services);
		if (services.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " must have at least one service");
		}
		if (timeoutMillis <= 0) {
			throw new IllegalArgumentException("timeoutMillis must be positive but is " + timeoutMillis);
		}
	}

	/**
	 * Create a route whose requests have its own priority.
	 * @param name the route's name
	 * @param host the host name of matching requests
	 * @param prefix the path prefix of matching requests
	 * @param kind the kind of the requests
	 * @param timeoutMillis the maximum duration of a request, in milliseconds; positive
	 * @param goalMillis the response-time goal, in milliseconds
	 * @param eventIntervalGoalMillis the goal for the longest pause between events, in
	 * milliseconds; 0 if answers are not streams
	 * @param priority the priority, 0 being the highest
	 * @param maxAttempts the maximum number of targets that one request may run on
	 * @param open whether requests are accepted without a key
	 * @param services the services that answer the requests, at least one
	 * @param regions the regions in which requests may be served
	 */
	public RouteSpec(String name, String host, String prefix, RequestKind kind, long timeoutMillis, long goalMillis,
			long eventIntervalGoalMillis, int priority, int maxAttempts, boolean open, List<WeightedService> services,
			AllowedRegions regions) {
		this(name, host, prefix, kind, timeoutMillis, goalMillis, eventIntervalGoalMillis, priority, priority,
				maxAttempts, open, services, regions);
	}

	/**
	 * Create a copy with the priority of a client account.
	 * @param newPriority the priority, 0 being the highest
	 * @return a copy that differs in the priority only
	 */
	public RouteSpec withPriority(int newPriority) {
		return new RouteSpec(this.name, this.host, this.prefix, this.kind, this.timeoutMillis, this.goalMillis,
				this.eventIntervalGoalMillis, newPriority, this.routePriority, this.maxAttempts, this.open,
				this.services, this.regions);
	}

	/**
	 * Select the service of one request in proportion to the weights.
	 * @param position the position of the request in the total weight, from 0 (inclusive)
	 * to 1 (exclusive)
	 * @return the service's name, or empty if no service has a weight above 0
	 */
	public Optional<String> selectService(double position) {
		double total = this.services.stream().mapToDouble(WeightedService::weight).sum();
		double remainingWeight = position * total;
		Optional<String> selected = Optional.empty();
		for (WeightedService candidate : this.services) {
			if (candidate.weight() > 0) {
				selected = Optional.of(candidate.service());
				remainingWeight -= candidate.weight();
				if (remainingWeight < 0) {
					break;
				}
			}
		}
		// Rounding may leave a remainder behind the last share.
		return selected;
	}

}
