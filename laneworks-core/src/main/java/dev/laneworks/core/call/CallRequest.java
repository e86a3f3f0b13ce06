package dev.laneworks.core.call;

import java.util.Objects;
import java.util.Optional;

import dev.laneworks.core.configuration.Intent;
import dev.laneworks.core.message.SidecarRequest;

/**
 * Request of a caller with the properties that routing needs.
 *
 * @param work the request for the sidecar
 * @param intent the intent that applies to the request
 * @param prefixHash the hash of the beginning of the prompt, or 0
 * @param ticketTarget the target named by the caller's ticket, or empty without a ticket
 * @param mayResume whether a disconnected caller may resume the output later
 * @since 0.1
 */
public record CallRequest(SidecarRequest work, Intent intent, long prefixHash, Optional<String> ticketTarget,
		boolean mayResume) {

	public CallRequest {
		Objects.requireNonNull(work, "work must not be null");
		Objects.requireNonNull(intent, "intent must not be null");
		Objects.requireNonNull(ticketTarget, "ticketTarget must not be null");
	}

}
