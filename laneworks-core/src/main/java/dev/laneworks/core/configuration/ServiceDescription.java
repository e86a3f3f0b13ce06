package dev.laneworks.core.configuration;

import java.util.List;
import java.util.Set;

/**
 * A plain service as the configuration describes it.
 *
 * @param name the service's name
 * @param repeatableMethods the HTTP methods whose requests may run more than once
 * @param oncePaths the path prefixes below which no request may run more than once,
 * whatever its method
 * @since 0.1
 */
public record ServiceDescription(String name, Set<String> repeatableMethods, List<String> oncePaths) {

	public ServiceDescription {
		repeatableMethods = Set.copyOf(repeatableMethods);
		oncePaths = List.copyOf(oncePaths);
	}

	/**
	 * Determine whether a request may run more than once.
	 * @param method the HTTP method
	 * @param path the path below the service
	 * @return {@code true} if the method is repeatable and the path is not excluded
	 */
	public boolean isRepeatable(String method, String path) {
		return this.repeatableMethods.contains(method) && this.oncePaths.stream().noneMatch(path::startsWith);
	}

}
