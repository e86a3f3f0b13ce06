package dev.laneworks.core.serving;

import java.util.List;
import java.util.Objects;

/**
 * One route: which requests it covers, which services answer them, and within what
 * bounds.
 *
 * @param name the route's name
 * @param host the host that requests name
 * @param prefix the beginning of their paths; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time a request may be held, in milliseconds
 * @param goalMillis the response-time goal, in milliseconds
 * @param gapGoalMillis the longest pause between events that is still in time, in
 * milliseconds; 0 where answers are no streams
 * @param priority the rank, 0 being the highest
 * @param maxAttempts the most targets that one request may run on
 * @param open whether requests need no key
 * @param services who answers, at least one
 * @param regions where requests may be served
 * @since 0.2
 */
public record RouteSpec(String name, String host, String prefix, RequestKind kind, long timeoutMillis, long goalMillis,
		long gapGoalMillis, int priority, int maxAttempts, boolean open, List<WeightedService> services,
		AllowedRegions regions) {

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
	 * Return the route with another rank.
	 * @param rank the rank, 0 being the highest
	 * @return the route
	 */
	public RouteSpec withPriority(int rank) {
		return new RouteSpec(this.name, this.host, this.prefix, this.kind, this.timeoutMillis, this.goalMillis,
				this.gapGoalMillis, rank, this.maxAttempts, this.open, this.services, this.regions);
	}

	/**
	 * Choose the service of one request.
	 * @param position where the request falls, from 0 up to but not including 1
	 * @return the service's name
	 */
	public String serviceAt(double position) {
		double total = this.services.stream().mapToDouble(WeightedService::weight).sum();
		double left = position * total;
		for (WeightedService each : this.services) {
			left -= each.weight();
			if (left < 0) {
				return each.service();
			}
		}
		return this.services.get(0).service();
	}

}
