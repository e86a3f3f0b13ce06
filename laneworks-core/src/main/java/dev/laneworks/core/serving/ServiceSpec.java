package dev.laneworks.core.serving;

import java.util.Objects;
import java.util.Optional;

/**
 * A service that requests are routed to.
 *
 * @param name the service's name
 * @param maxConnections the connections that one of its targets accepts from all callers
 * @param coldPerSecond the requests a second that one of its targets bears while it is
 * cold; 0 where nothing is known of that
 * @param engine what its engines can do; empty for a plain service
 * @since 0.2
 */
public record ServiceSpec(String name, int maxConnections, double coldPerSecond, Optional<EngineSpec> engine) {

	public ServiceSpec {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(engine, "engine must not be null");
	}

}
