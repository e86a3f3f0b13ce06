package dev.laneworks.core.serving;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Rights of the client account to which a key belongs.
 *
 * @param account the account's name
 * @param priority the account's priority, 0 being the highest, which overrides that of
 * the route; empty if the route's priority applies
 * @param regions the regions in which the account's requests may be served
 * @since 0.2
 */
public record AccountGrant(String account, OptionalInt priority, AllowedRegions regions) {

	public AccountGrant {
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(priority, "priority must not be null");
		Objects.requireNonNull(regions, "regions must not be null");
	}

}
