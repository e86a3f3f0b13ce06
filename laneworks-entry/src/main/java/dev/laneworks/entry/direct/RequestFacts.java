package dev.laneworks.entry.direct;

import java.util.Objects;
import java.util.Optional;

import dev.laneworks.core.dispatch.EngineWork;

/**
 * What a request's head says, once translated from the callers' protocol.
 *
 * @param id the caller's name for the request, or empty text if it gave none
 * @param key the key of the client account, if it gave one
 * @param patienceMillis how long the caller waits, in milliseconds, if it said so
 * @param work what the request asks of an engine; empty for a plain service
 * @since 0.2
 */
public record RequestFacts(String id, Optional<String> key, Optional<Long> patienceMillis, Optional<EngineWork> work) {

	public RequestFacts {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(patienceMillis, "patienceMillis must not be null");
		Objects.requireNonNull(work, "work must not be null");
	}

}
