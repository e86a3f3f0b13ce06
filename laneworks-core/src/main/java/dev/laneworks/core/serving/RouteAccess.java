package dev.laneworks.core.serving;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Terms on which a plan allows a request.
 *
 * @param route the route of the request, with the priority that applies to it
 * @param account the client account of the caller, or empty if it sent no valid key
 * @since 0.8
 */
public record RouteAccess(RouteSpec route, Optional<AccountGrant> account) {

	public RouteAccess {
		Objects.requireNonNull(route, "route must not be null");
		Objects.requireNonNull(account, "account must not be null");
	}

	static RouteAccess of(RouteSpec route, Optional<AccountGrant> account) {
		OptionalInt accountPriority = account.map(AccountGrant::priority).orElse(OptionalInt.empty());
		return new RouteAccess(accountPriority.isPresent() ? route.withPriority(accountPriority.getAsInt()) : route,
				account);
	}

	/**
	 * Return the regions in which the request may be served.
	 * @return the regions that both the route and the account allow
	 */
	public AllowedRegions regions() {
		return this.account.map((a) -> a.regions().intersect(this.route.regions())).orElse(this.route.regions());
	}

}
