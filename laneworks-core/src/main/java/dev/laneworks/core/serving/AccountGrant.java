package dev.laneworks.core.serving;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * The client account that holds a key.
 *
 * @param account the account's name
 * @param priority the account's rank, which goes before that of the route
 * @param regions where the account's requests may be served
 * @since 0.2
 */
public record AccountGrant(String account, OptionalInt priority, AllowedRegions regions) {

	public AccountGrant {
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(priority, "priority must not be null");
		Objects.requireNonNull(regions, "regions must not be null");
	}

}
