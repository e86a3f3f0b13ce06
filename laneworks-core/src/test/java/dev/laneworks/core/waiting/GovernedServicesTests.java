package dev.laneworks.core.waiting;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import dev.laneworks.core.serving.AccountKeys;
import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.RequestLimits;
import dev.laneworks.core.serving.RouteSpec;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.serving.WeightedService;
import dev.laneworks.core.shares.AccountOveruse;
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

	// Guards against engines that treat the urgent route like the others where the client
	// accounts have priorities.
	@Test
	void enginePriorityKeepsOrderOfRoutesWithinPriorityOfAccount() {
		GenerationQueues queues = new GenerationQueues(
				Optional.of(new WaitingSettings(3_000, WaitingOrder.LEAST_SLACK, 4, false)), (s, p, t) -> 1,
				AccountOveruse.NONE, PeerDemand.NONE, new SplittableRandom(1));
		RouteSpec less = route(2, 4_006);
		RouteSpec urgent = route(0, 1_504);
		assertThat(queues.enginePriority("s", less.withPriority(1))).isEqualTo(1);
		queues.applyPlan(plan(less, urgent));
		assertThat(queues.enginePriority("s", urgent.withPriority(1))).isEqualTo(1);
		assertThat(queues.enginePriority("s", less.withPriority(1))).isEqualTo(2);
		assertThat(queues.enginePriority("s", less)).isEqualTo(2);
	}

	@Test
	void leavesOtherServicesAlone() {
		assertThat(of(route(0, 1_806), route(1, 1_504)).contains("s")).isFalse();
		assertThat(of(route(0, 4_006), route(1, 1_504)).contains("s")).isFalse();
		assertThat(of(route(2, 4_006)).contains("s")).isFalse();
		assertThat(of(route(2, 4_006), route(2, 1_504)).contains("s")).isFalse();
	}

	private static GovernedServices of(RouteSpec... routes) {
		return GovernedServices.of(plan(routes), 3_000);
	}

	private static ServingPlan plan(RouteSpec... routes) {
		return new ServingPlan(1, Arrays.asList(routes), Map.of("s", new ServiceSpec("s", 100, 0, Optional.of(ENGINE))),
				AccountKeys.notRequired(), new RequestLimits(16_384, 4_194_304, 3_000, 15_000));
	}

	private static RouteSpec route(int priority, long goalMillis) {
		return new RouteSpec("r" + priority, "h", "/", RequestKind.STREAMING, 39_000, goalMillis, 180, priority, 1,
				false, List.of(new WeightedService("s", 1)), AllowedRegions.any());
	}

}
