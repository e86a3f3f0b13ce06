package dev.laneworks.core.serving;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ServingPlan} and {@link RouteSpec}. They guard against requests sent
 * to the wrong route or service.
 */
class ServingPlanTests {

	private static final RequestLimits LIMITS = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

	@Test
	void findsTheRouteWithTheLongestPrefixOfItsHost() {
		ServingPlan plan = plan(List.of(route("all", "h", "/"), route("deep", "h", "/a/b/"), route("a", "h", "/a/"),
				route("other", "g", "/a/b/c/")));
		assertThat(plan.findRoute("h", "/a/b/x").map(RouteSpec::name)).isEqualTo(Optional.of("deep"));
		assertThat(plan.findRoute("h", "/a/c").map(RouteSpec::name)).isEqualTo(Optional.of("a"));
		assertThat(plan.findRoute("h", "/a").map(RouteSpec::name)).isEqualTo(Optional.of("all"));
		assertThat(plan.findRoute("g", "/a/b/x")).isEqualTo(Optional.empty());
		assertThat(plan.findRoute("unknown", "/a/")).isEqualTo(Optional.empty());
	}

	@Test
	void requiresKeysIfThePlanHasAccountsEvenWithoutAKey() {
		assertThat(plan(AccountKeys.notRequired()).requiresKeys()).isFalse();
		AccountGrant grant = new AccountGrant("acme", OptionalInt.of(1), AllowedRegions.any());
		ServingPlan plan = plan(AccountKeys.required(Map.of("key", grant)));
		assertThat(plan.requiresKeys()).isTrue();
		assertThat(plan.findAccount("key")).isEqualTo(Optional.of(grant));
		assertThat(plan.findAccount("revoked")).isEqualTo(Optional.empty());
		ServingPlan withoutKeys = plan(AccountKeys.required(Map.of()));
		assertThat(withoutKeys.requiresKeys()).isTrue();
		assertThat(withoutKeys.findAccount("key")).isEqualTo(Optional.empty());
	}

	@Test
	void allowsRequestsByKeyUnlessTheirRouteIsOpen() {
		RouteSpec route = route("r", "h", "/");
		AccountGrant grant = new AccountGrant("acme", OptionalInt.of(1), AllowedRegions.of(List.of("north")));
		ServingPlan plan = plan(AccountKeys.required(Map.of("key", grant)));
		RouteAccess access = plan.findAccess(route, Optional.of("key")).orElseThrow();
		assertThat(access.account()).isEqualTo(Optional.of(grant));
		assertThat(access.route().priority()).isEqualTo(1);
		assertThat(access.regions()).isEqualTo(AllowedRegions.of(List.of("north")));
		for (Optional<String> key : List.of(Optional.of("revoked"), Optional.of(""), Optional.<String>empty())) {
			assertThat(plan.findAccess(route, key)).isEqualTo(Optional.empty());
			assertThat(plan(AccountKeys.required(Map.of())).findAccess(route, key)).isEqualTo(Optional.empty());
			RouteAccess open = plan(AccountKeys.notRequired()).findAccess(route, key).orElseThrow();
			assertThat(open.account()).isEqualTo(Optional.empty());
			assertThat(open.route()).isEqualTo(route);
		}
	}

	@Test
	void splitsRequestsOfARouteByWeight() {
		RouteSpec route = new RouteSpec("r", "h", "/", RequestKind.SAFE, 1_000, 100, 0, 0, 1, false,
				List.of(new WeightedService("a", 90), new WeightedService("b", 10), new WeightedService("none", 0)),
				AllowedRegions.any());
		assertThat(route.selectService(0)).isEqualTo(Optional.of("a"));
		assertThat(route.selectService(0.899)).isEqualTo(Optional.of("a"));
		assertThat(route.selectService(0.901)).isEqualTo(Optional.of("b"));
		assertThat(route.selectService(0.9999)).isEqualTo(Optional.of("b"));
	}

	// Guards against requests at a service that the plan gives no share of a route.
	@Test
	void selectsNoServiceWithoutAShare() {
		for (double position : new double[] { 0, 0.5, Math.nextDown(1.0) }) {
			assertThat(split(0, 0).selectService(position)).isEqualTo(Optional.empty());
			assertThat(split(0, 0.1, 0.2, 0).selectService(position).orElseThrow()).isAnyOf("s1", "s2");
			assertThat(split(0, 1e-300, 0).selectService(position)).isEqualTo(Optional.of("s1"));
		}
	}

	private static RouteSpec split(double... weights) {
		List<WeightedService> services = IntStream.range(0, weights.length)
			.mapToObj((i) -> new WeightedService("s" + i, weights[i]))
			.toList();
		return new RouteSpec("r", "h", "/", RequestKind.SAFE, 1_000, 100, 0, 0, 1, false, services,
				AllowedRegions.any());
	}

	private static ServingPlan plan(List<RouteSpec> routes) {
		return new ServingPlan(1, routes, Map.of("s", new ServiceSpec("s", 10, 0, Optional.empty())),
				AccountKeys.notRequired(), LIMITS);
	}

	private static ServingPlan plan(AccountKeys keys) {
		return new ServingPlan(1, List.of(), Map.of(), keys, LIMITS);
	}

	private static RouteSpec route(String name, String host, String prefix) {
		return new RouteSpec(name, host, prefix, RequestKind.SAFE, 1_000, 100, 0, 0, 1, false,
				List.of(new WeightedService("s", 1)), AllowedRegions.any());
	}

}
