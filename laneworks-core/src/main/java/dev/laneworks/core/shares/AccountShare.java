package dev.laneworks.core.shares;

import java.util.Objects;

/**
 * Use of the contended engine memory of a service by one client account, beside its share
 * of it.
 *
 * @param service the name of the service
 * @param account the name of the client account
 * @param usedTokens the memory that its requests of all known entries use, in tokens
 * @param shareTokens the memory that it may use before it is placed behind others, in
 * tokens
 * @since 0.4
 */
public record AccountShare(String service, String account, long usedTokens, long shareTokens) {

	public AccountShare {
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(account, "account must not be null");
	}

}
