package dev.laneworks.core.serving;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * One version of all that the operator lets be served.
 * <p>
 * Immutable, so that a request is judged by one version from its beginning to its end.
 *
 * @since 0.2
 */
public final class ServingPlan {

	private final long version;

	private final Map<String, List<RouteSpec>> routesByHost;

	private final Map<String, ServiceSpec> services;

	private final Set<String> serviceNames = new HashSet<>();

	private final Map<String, AccountGrant> accountsByKey;

	private final RequestLimits limits;

	/**
	 * Create a plan.
	 * @param version its version; only a higher one replaces it
	 * @param routes the routes
	 * @param services the services by name
	 * @param accountsByKey the client accounts by key; where it is empty no request needs
	 * a key
	 * @param limits what callers may send
	 */
	public ServingPlan(long version, List<RouteSpec> routes, Map<String, ServiceSpec> services,
			Map<String, AccountGrant> accountsByKey, RequestLimits limits) {
		this.version = version;
		this.routesByHost = byHost(routes);
		this.services = Map.copyOf(services);
		this.serviceNames.addAll(services.keySet());
		routes.forEach((r) -> r.services().forEach((s) -> this.serviceNames.add(s.service())));
		this.accountsByKey = Map.copyOf(accountsByKey);
		this.limits = limits;
	}

	/**
	 * Return the plan's version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Return what callers may send.
	 * @return the limits
	 */
	public RequestLimits limits() {
		return this.limits;
	}

	/**
	 * Return the route of a request: of its host's routes the one with the longest prefix
	 * of its path.
	 * @param host the host that the request names, without a port
	 * @param path the path, without the query
	 * @return the route, or empty if there is none
	 */
	public Optional<RouteSpec> route(String host, String path) {
		return this.routesByHost.getOrDefault(host, List.of())
			.stream()
			.filter((r) -> path.startsWith(r.prefix()))
			.findFirst();
	}

	/**
	 * Return a service.
	 * @param name the service's name
	 * @return the service, or empty if the plan has none of that name
	 */
	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Return whether the plan names a service, be it with what its targets can do or as
	 * one that a route sends requests to.
	 * @param name the service's name
	 * @return whether a target of the service may be needed
	 * @since 0.3
	 */
	public boolean namesService(String name) {
		return this.serviceNames.contains(name);
	}

	/**
	 * Return whether requests need a key, but on open routes.
	 * @return whether the plan has client accounts
	 */
	public boolean needsKeys() {
		return !this.accountsByKey.isEmpty();
	}

	/**
	 * Return the client account that holds a key.
	 * @param key the key
	 * @return the account, or empty if nobody holds the key
	 */
	public Optional<AccountGrant> account(String key) {
		return Optional.ofNullable(this.accountsByKey.get(key));
	}

	private static Map<String, List<RouteSpec>> byHost(List<RouteSpec> routes) {
		Comparator<RouteSpec> longestFirst = (a, b) -> Integer.compare(b.prefix().length(), a.prefix().length());
		Map<String, List<RouteSpec>> grouped = new HashMap<>();
		for (RouteSpec route : routes) {
			grouped.merge(route.host(), List.of(route), (a, b) -> Stream.concat(a.stream(), b.stream()).toList());
		}
		grouped.replaceAll((h, list) -> list.stream().sorted(longestFirst).toList());
		return Map.copyOf(grouped);
	}

}
