package dev.laneworks.core.serving;

import java.util.Objects;
import java.util.Optional;

/**
 * Service to which requests are routed.
 *
 * @param name the service's name
 * @param maxConnections the maximum number of connections that one target accepts from
 * all entries together
 * @param coldRequestsPerSecond the requests per second that one target supports while it
 * is cold; 0 if unknown
 * @param engine the capabilities of its engines; empty for a plain service
 * @param healthPath the path at which a target states its identity and health
 * @since 0.2
 */
public record ServiceSpec(String name, int maxConnections, double coldRequestsPerSecond, Optional<EngineSpec> engine,
		String healthPath) {

	/** The path of services that state none. */
	public static final String DEFAULT_HEALTH_PATH = "/health";

	public ServiceSpec {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(engine, "engine must not be null");
		Objects.requireNonNull(healthPath, "healthPath must not be null");
	}

	/**
	 * Create a service with the default health path.
	 * @param name the service's name
	 * @param maxConnections the maximum number of connections that one target accepts
	 * from all entries together
	 * @param coldRequestsPerSecond the requests per second that one target supports while
	 * it is cold; 0 if unknown
	 * @param engine the capabilities of its engines; empty for a plain service
	 */
	public ServiceSpec(String name, int maxConnections, double coldRequestsPerSecond, Optional<EngineSpec> engine) {
		this(name, maxConnections, coldRequestsPerSecond, engine, DEFAULT_HEALTH_PATH);
	}

}
