package dev.laneworks.entry.direct;

import java.util.Objects;
import java.util.Optional;

import dev.laneworks.core.dispatch.GenerationSize;

/**
 * Values of a request head, translated from the callers' protocol.
 *
 * @param id the request id that the caller assigned, or empty text if there is none
 * @param key the key of the client account; empty if the request has none
 * @param patienceMillis the time for which the caller waits, in milliseconds; empty if
 * not stated
 * @param work the work for an engine; empty for a plain service
 * @since 0.2
 */
public record RequestFacts(String id, Optional<String> key, Optional<Long> patienceMillis, Optional<GenerationSize> work) {

	public RequestFacts {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(patienceMillis, "patienceMillis must not be null");
		Objects.requireNonNull(work, "work must not be null");
	}

}
