package dev.laneworks.core.routing;

import java.util.Objects;
import java.util.Set;

import dev.laneworks.core.configuration.Intent;

/**
 * Criteria for the selection of a target.
 *
 * @param model the model or service
 * @param intent the intent that the request matches
 * @param prefixHash the hash of the prefix of the prompt, or 0 if there is none
 * @param excluded the names of targets that rejected the request
 * @since 0.1
 */
public record RouteRequest(String model, Intent intent, long prefixHash, Set<String> excluded) {

	public RouteRequest {
		Objects.requireNonNull(model, "model must not be null");
		Objects.requireNonNull(intent, "intent must not be null");
		excluded = Set.copyOf(excluded);
	}

}
