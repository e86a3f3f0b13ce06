package dev.laneworks.core.stream;

import java.util.Objects;

/**
 * Names the one sidecar process that may run a request, given to the caller before its
 * first try.
 *
 * @param target the home target
 * @param incarnation the incarnation of the home's sidecar when the ticket was made
 * @param account the client account
 * @param identity names the request, unique among all tickets
 * @since 0.1
 */
public record OnceTicket(String target, long incarnation, String account, String identity) {

	public OnceTicket {
		Objects.requireNonNull(target, "target must not be null");
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(identity, "identity must not be null");
	}

}
