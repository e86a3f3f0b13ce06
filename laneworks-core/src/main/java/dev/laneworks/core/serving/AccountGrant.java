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
 * @param weight the account's weight in the division of scarce engine memory, above 0
 * @since 0.2
 */
public record AccountGrant(String account, OptionalInt priority, AllowedRegions regions, double weight) {

	/** The weight of an account for which the plan gives none. */
	public static final double DEFAULT_WEIGHT = 1;

	public AccountGrant {
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(priority, "priority must not be null");
		Objects.requireNonNull(regions, "regions must not be null");
	}

	/**
	 * Create the rights of an account of the default weight.
	 * @param account the account's name
	 * @param priority the account's priority; empty if the route's priority applies
	 * @param regions the regions in which the account's requests may be served
	 */
	public AccountGrant(String account, OptionalInt priority, AllowedRegions regions) {
		this(account, priority, regions, DEFAULT_WEIGHT);
	}

}
