package dev.laneworks.core.routing;

import java.util.Optional;

/**
 * Chooses a target for a request.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TargetSelector {

	/**
	 * Choose a target.
	 * @param request what the target is wanted for
	 * @param now the time in milliseconds
	 * @return the choice, or empty if no target can take the request now
	 */
	Optional<Route> select(RouteRequest request, long now);

}
