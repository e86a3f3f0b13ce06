package dev.laneworks.core.stream;

import java.util.Objects;

/**
 * Ticket that binds a request to the only sidecar process that may run it, issued to the
 * caller before its first attempt.
 *
 * @param target the name of the home target
 * @param incarnation the incarnation of the home's sidecar when the ticket was issued
 * @param account the client account to which the ticket was issued
 * @param identity the identifier of the request, unique among all tickets
 * @since 0.1
 */
public record RequestTicket(String target, long incarnation, String account, String identity) {

	public RequestTicket {
		Objects.requireNonNull(target, "target must not be null");
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(identity, "identity must not be null");
	}

}
