package dev.laneworks.core.routing;

import java.util.Objects;
import java.util.Set;

import dev.laneworks.core.configuration.Intent;

/**
 * What a target is wanted for.
 *
 * @param model the model or service
 * @param intent the intent that the request falls under
 * @param prefixHash the hash of the prompt's beginning, or 0
 * @param excluded the targets that have refused it
 * @since 0.1
 */
public record RouteRequest(String model, Intent intent, long prefixHash, Set<String> excluded) {

	public RouteRequest {
		Objects.requireNonNull(model, "model must not be null");
		Objects.requireNonNull(intent, "intent must not be null");
		excluded = Set.copyOf(excluded);
	}

}
