package dev.laneworks.core.serving;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * One version of the operator's routes, services, client accounts and limits.
 * <p>
 * Immutable, so that one version applies to a request from its arrival to its end.
 *
 * @since 0.2
 */
public final class ServingPlan {

	private final long version;

	private final List<RouteSpec> routes;

	private final Map<String, List<RouteSpec>> routesByHost;

	private final Map<String, ServiceSpec> services;

	private final Set<String> serviceNames = new HashSet<>();

	private final Map<String, Integer> mostUrgentPriorities = new HashMap<>();

	private final AccountKeys keys;

	private final Map<String, Double> weights = new HashMap<>();

	private final RequestLimits limits;

	/**
	 * Create a plan.
	 * @param version the version; only a plan with a higher one replaces this plan
	 * @param routes the routes in any order
	 * @param services the services by name
	 * @param keys the keys of the client accounts, and whether requests need one
	 * @param limits the size limits and timeouts of requests
	 */
	public ServingPlan(long version, List<RouteSpec> routes, Map<String, ServiceSpec> services, AccountKeys keys,
			RequestLimits limits) {
		this.version = version;
		this.routes = List.copyOf(routes);
		this.routesByHost = groupByHost(routes);
		this.services = Map.copyOf(services);
		this.serviceNames.addAll(services.keySet());
		routes.forEach((r) -> r.services().forEach((s) -> this.serviceNames.add(s.service())));
		routes.stream().filter((r) -> r.kind() == RequestKind.STREAMING).forEach(this::addPriority);
		this.keys = keys;
		// The plan may name an account twice; the result must not depend on the order.
		keys.grants().forEach((a) -> this.weights.merge(a.account(), a.weight(), Math::max));
		this.limits = limits;
	}

	/**
	 * Return the version of the plan.
	 * @return the version, which increases with each plan
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Return the size limits and timeouts of incoming requests.
	 * @return the limits, the same for all routes
	 */
	public RequestLimits limits() {
		return this.limits;
	}

	/**
	 * Return all routes.
	 * @return the routes in the order of the plan
	 * @since 0.4
	 */
	public List<RouteSpec> routes() {
		return this.routes;
	}

	/**
	 * Return the services that the plan defines.
	 * @return the services in any order
	 * @since 0.4
	 */
	public Collection<ServiceSpec> services() {
		return this.services.values();
	}

	/**
	 * Find the route of a request: the route of its host with the longest matching path
	 * prefix.
	 * @param host the host name of the request, without a port
	 * @param path the path, without the query
	 * @return the route, or empty if none matches
	 */
	public Optional<RouteSpec> findRoute(String host, String path) {
		return this.routesByHost.getOrDefault(host, List.of())
			.stream()
			.filter((r) -> path.startsWith(r.prefix()))
			.findFirst();
	}

	/**
	 * Find a service by name.
	 * @param name the service's name
	 * @return the service, or empty if the plan does not define it
	 */
	public Optional<ServiceSpec> findService(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Determine whether the plan refers to a service, either by a definition or in a
	 * route.
	 * @param name the service's name
	 * @return {@code true} if targets of the service may receive requests
	 * @since 0.3
	 */
	public boolean refersToService(String name) {
		return this.serviceNames.contains(name);
	}

	/**
	 * Return the most urgent priority among the streaming routes of a service.
	 * @param service the service's name
	 * @return the lowest number; 0, the highest priority, if it has no such route
	 * @since 0.4
	 */
	public int mostUrgentPriority(String service) {
		return this.mostUrgentPriorities.getOrDefault(service, 0);
	}

	/**
	 * Determine whether requests need a key on routes that are not open.
	 * @return {@code true} if the plan defines client accounts, even if they have no key
	 */
	public boolean requiresKeys() {
		return this.keys.areRequired();
	}

	/**
	 * Return the number of keys that the client accounts of the plan have.
	 * @return the number of keys
	 * @since 0.8
	 */
	public int keyCount() {
		return this.keys.grants().size();
	}

	/**
	 * Find the client account to which a key belongs.
	 * @param key the key sent by the caller
	 * @return the account and its rights, or empty if the key is unknown
	 */
	public Optional<AccountGrant> findAccount(String key) {
		return this.keys.find(key);
	}

	/**
	 * Decide whether a request may use a route.
	 * @param route the route that covers the request
	 * @param key the key sent by the caller, if any
	 * @return the terms of the access, or empty if the request needs a key and has none
	 * that belongs to an account
	 * @since 0.8
	 */
	public Optional<RouteAccess> findAccess(RouteSpec route, Optional<String> key) {
		Optional<AccountGrant> account = key.flatMap(this::findAccount);
		boolean isAllowed = account.isPresent() || route.open() || !requiresKeys();
		return isAllowed ? Optional.of(RouteAccess.of(route, account)) : Optional.empty();
	}

	private void addPriority(RouteSpec route) {
		route.services().forEach((s) -> this.mostUrgentPriorities.merge(s.service(), route.priority(), Math::min));
	}

	/**
	 * Return the weight of a client account in the division of scarce engine memory.
	 * @param account the name of the account, which may be in no plan any more
	 * @return the weight, above 0
	 * @since 0.4
	 */
	public double accountWeight(String account) {
		return this.weights.getOrDefault(account, AccountGrant.DEFAULT_WEIGHT);
	}

	private static Map<String, List<RouteSpec>> groupByHost(List<RouteSpec> routes) {
		Comparator<RouteSpec> longestFirst = (a, b) -> Integer.compare(b.prefix().length(), a.prefix().length());
		Map<String, List<RouteSpec>> grouped = new HashMap<>();
		for (RouteSpec route : routes) {
			grouped.merge(route.host(), List.of(route), (a, b) -> Stream.concat(a.stream(), b.stream()).toList());
		}
		grouped.replaceAll((h, list) -> list.stream().sorted(longestFirst).toList());
		return Map.copyOf(grouped);
	}

}
