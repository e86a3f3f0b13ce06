package dev.laneworks.core.call;

import java.util.Objects;
import java.util.Optional;

import dev.laneworks.core.configuration.Intent;
import dev.laneworks.core.message.Work;

/**
 * A caller's request as the entry takes it on.
 *
 * @param work the request for the sidecar
 * @param intent the intent that it falls under
 * @param prefixHash the hash of the prompt's beginning, or 0
 * @param ticketTarget the target that the caller's ticket names
 * @param mayReturn whether a caller that leaves may come back for the rest
 * @since 0.1
 */
public record CallRequest(Work work, Intent intent, long prefixHash, Optional<String> ticketTarget, boolean mayReturn) {

	public CallRequest {
		Objects.requireNonNull(work, "work must not be null");
		Objects.requireNonNull(intent, "intent must not be null");
		Objects.requireNonNull(ticketTarget, "ticketTarget must not be null");
	}

}
