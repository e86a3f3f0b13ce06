package dev.laneworks.core.waiting;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.RequestLimits;
import dev.laneworks.core.serving.RouteSpec;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.serving.WeightedService;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for the condition under which generations wait, with the routes of both
 * customers.
 */
class GovernedServicesTests {

	private static final EngineSpec ENGINE = new EngineSpec(24, 26_928, 18_432, 2_700, 4, true, true, 2_000);

	@Test
	void governsServiceWhoseLessUrgentRouteHasALongGoal() {
		GovernedServices governed = of(route(2, 4_006), route(0, 1_504));
		assertThat(governed.contains("s")).isTrue();
		assertThat(governed.mostUrgentPriority("s")).hasValue(0);
	}

	@Test
	void leavesOtherServicesAlone() {
		assertThat(of(route(0, 1_806), route(1, 1_504)).contains("s")).isFalse();
		assertThat(of(route(0, 4_006), route(1, 1_504)).contains("s")).isFalse();
		assertThat(of(route(2, 4_006)).contains("s")).isFalse();
		assertThat(of(route(2, 4_006), route(2, 1_504)).contains("s")).isFalse();
	}

	private static GovernedServices of(RouteSpec... routes) {
		return GovernedServices.of(new ServingPlan(1, Arrays.asList(routes),
				Map.of("s", new ServiceSpec("s", 100, 0, Optional.of(ENGINE))), Map.of(),
				new RequestLimits(16_384, 4_194_304, 3_000, 15_000)), 3_000);
	}

	private static RouteSpec route(int priority, long goalMillis) {
		return new RouteSpec("r" + priority, "h", "/", RequestKind.STREAMING, 39_000, goalMillis, 180, priority, 1,
				false, List.of(new WeightedService("s", 1)), AllowedRegions.any());
	}

}
