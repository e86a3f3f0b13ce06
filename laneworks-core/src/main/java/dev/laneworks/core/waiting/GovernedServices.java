package dev.laneworks.core.waiting;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SortedSet;
import java.util.TreeSet;

import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.RouteSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.serving.WeightedService;

/**
 * Services of a plan whose generations wait for engine memory, with the priority that is
 * most urgent on their routes.
 * <p>
 * These are the services with at least two streaming routes, of which a less urgent one
 * has a goal long enough to wait for.
 *
 * @since 0.4
 */
public final class GovernedServices {

	/** No services. */
	public static final GovernedServices NONE = new GovernedServices(Map.of());

	/** The different priorities of the streaming routes of each service. */
	private final Map<String, SortedSet<Integer>> priorities;

	private GovernedServices(Map<String, SortedSet<Integer>> priorities) {
		this.priorities = Map.copyOf(priorities);
	}

	/**
	 * Find the services of a plan.
	 * @param plan the plan
	 * @param minGoalMillis the shortest goal of a less urgent route in milliseconds
	 * @return the services that meet the condition
	 */
	public static GovernedServices of(ServingPlan plan, long minGoalMillis) {
		Map<String, SortedSet<Integer>> found = new HashMap<>();
		plan.services().forEach((s) -> {
			List<RouteSpec> routes = plan.routes().stream().filter((r) -> isStreamingTo(r, s.name())).toList();
			SortedSet<Integer> all = new TreeSet<>(routes.stream().map(RouteSpec::priority).toList());
			if (s.engine().isPresent()
					&& routes.stream().anyMatch((r) -> r.priority() > all.first() && r.goalMillis() >= minGoalMillis)) {
				found.put(s.name(), all);
			}
		});
		return new GovernedServices(found);
	}

	/**
	 * Determine whether generations of a service wait for engine memory.
	 * @param service the name of the service
	 * @return {@code false} if they are sent or refused at once
	 */
	public boolean contains(String service) {
		return this.priorities.containsKey(service);
	}

	/**
	 * Return the most urgent priority on the routes of a service.
	 * @param service the name of the service
	 * @return the priority, 0 being the highest, or empty if the service is not governed
	 */
	public OptionalInt mostUrgentPriority(String service) {
		SortedSet<Integer> all = this.priorities.get(service);
		return (all != null) ? OptionalInt.of(all.first()) : OptionalInt.empty();
	}

	/**
	 * Return the number of more urgent priorities on the routes of a service.
	 * @param service the name of the service
	 * @param priority the priority of one of its routes
	 * @return the count; 0 if the service is not governed
	 */
	int rankOf(String service, int priority) {
		SortedSet<Integer> all = this.priorities.get(service);
		return (all != null) ? all.headSet(priority).size() : 0;
	}

	private static boolean isStreamingTo(RouteSpec route, String service) {
		return route.kind() == RequestKind.STREAMING
				&& route.services().stream().map(WeightedService::service).anyMatch(service::equals);
	}

}
