package dev.laneworks.entry.direct;

import java.util.Objects;
import java.util.Optional;

import dev.laneworks.core.dispatch.GenerationSize;

/**
 * Values of a request head, translated from the callers' protocol.
 *
 * @param id the request id that the caller assigned, or empty text if there is none
 * @param key the key of the client account; empty if the request has none
 * @param callerTimeoutMillis the time for which the caller waits, in milliseconds; empty
 * if not stated
 * @param size the size of the generation; empty for a plain service
 * @since 0.2
 */
public record RequestMetadata(String id, Optional<String> key, Optional<Long> callerTimeoutMillis,
		Optional<GenerationSize> size) {

	public RequestMetadata {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(callerTimeoutMillis, "callerTimeoutMillis must not be null");
		Objects.requireNonNull(size, "size must not be null");
	}

}
