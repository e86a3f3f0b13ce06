package dev.laneworks.core.dispatch;

import java.util.Objects;
import java.util.Set;

import dev.laneworks.core.serving.AllowedRegions;

/**
 * The targets that come into question for a request.
 *
 * @param service the service that answers it
 * @param regions where it may be served
 * @param tried the ids of targets that are left out; may change while this is held
 * @since 0.3
 */
public record Scope(String service, AllowedRegions regions, Set<String> tried) {

	public Scope {
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(regions, "regions must not be null");
		Objects.requireNonNull(tried, "tried must not be null");
	}

}
