package dev.laneworks.core.configuration;

import java.util.List;
import java.util.Set;

/**
 * A plain service.
 *
 * @param name the service's name
 * @param repeatableMethods the HTTP methods whose calls may run more than once
 * @param oncePaths path prefixes below which no call may be repeated, whatever its method
 * @since 0.1
 */
public record ServiceDescription(String name, Set<String> repeatableMethods, List<String> oncePaths) {

	public ServiceDescription {
		repeatableMethods = Set.copyOf(repeatableMethods);
		oncePaths = List.copyOf(oncePaths);
	}

	/**
	 * Return whether a call may run more than once.
	 * @param method the HTTP method
	 * @param path the path below the service
	 * @return {@code true} if it is repeatable
	 */
	public boolean isRepeatable(String method, String path) {
		return this.repeatableMethods.contains(method) && this.oncePaths.stream().noneMatch(path::startsWith);
	}

}
