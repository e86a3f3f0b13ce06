package dev.laneworks.core.routing;

import java.util.Optional;

/**
 * Strategy that selects a target for a request.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TargetSelector {

	/**
	 * Select a target.
	 * @param request the criteria
	 * @param now the current time in milliseconds
	 * @return the selected target, or empty if no target can accept the request now
	 */
	Optional<Route> select(RouteRequest request, long now);

}
