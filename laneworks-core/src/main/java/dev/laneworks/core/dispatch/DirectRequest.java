package dev.laneworks.core.dispatch;

import java.util.Objects;
import java.util.Optional;

import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.serving.RouteSpec;

/**
 * Admitted request with its route and client account resolved.
 *
 * @param id the request id assigned by the caller
 * @param route the matching route
 * @param service the service that answers the request
 * @param account the client account, or empty text on an open route
 * @param callerTimeoutMillis the time from now, in milliseconds, after which the caller
 * stops waiting
 * @param regions the regions in which the request may be served
 * @param digest the digest that identifies repetitions of the same request
 * @param size the tokens it demands from an engine; empty for a plain service
 * @since 0.2
 */
public record DirectRequest(String id, RouteSpec route, String service, String account, long callerTimeoutMillis,
		AllowedRegions regions, RequestDigest digest, Optional<GenerationSize> size) {

	public DirectRequest {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(route, "route must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(regions, "regions must not be null");
		Objects.requireNonNull(digest, "digest must not be null");
		Objects.requireNonNull(size, "size must not be null");
	}

}
