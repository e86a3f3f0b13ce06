package dev.laneworks.core.configuration;

import java.util.Objects;
import java.util.Set;

/**
 * A target as the configuration describes it.
 *
 * @param name the target's name, unique in the fleet
 * @param region the region in which it runs
 * @param dataCentre the data centre in which it runs
 * @param host the IP address of its sidecar
 * @param port the port of its sidecar
 * @param serves the models, or the one service, that it can serve
 * @since 0.1
 */
public record TargetDescription(String name, String region, String dataCentre, String host, int port,
		Set<String> serves) {

	public TargetDescription {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		Objects.requireNonNull(host, "host must not be null");
		serves = Set.copyOf(serves);
	}

}
