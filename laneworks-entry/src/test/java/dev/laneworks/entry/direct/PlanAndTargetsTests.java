package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import dev.laneworks.core.directory.DirectoryListener;
import dev.laneworks.core.directory.EvacuationListener;
import dev.laneworks.core.directory.Evacuations;
import dev.laneworks.core.directory.LeavingCause;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.follow.FollowOutputs;
import dev.laneworks.core.follow.StoreChange;
import dev.laneworks.core.follow.StoreFollower;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.serving.RequestLimits;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.time.Timers;
import dev.laneworks.runtime.http.BackgroundWork;
import io.vavr.control.Either;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link PlanAndTargets}.
 */
class PlanAndTargetsTests {

	private static final String PADDING = " ".repeat(20_000);

	private final List<Runnable> later = new ArrayList<>();

	private final List<Long> inForce = new ArrayList<>();

	private final Evacuations evacuations = new Evacuations(new NoEvacuations());

	private final PlanAndTargets published = new PlanAndTargets(new Plans(),
			new TargetDirectory(new Nobody(), this.evacuations, new Timers()), this.evacuations,
			(p) -> this.inForce.add(p.version()), (e) -> {
			}, new Later());

	@Test
	void aLargePlanIsReadBesideTheIoThread() {
		this.published.all(List.of(plan("1" + PADDING)), 0);
		assertThat(this.inForce).containsExactly(1L);
		change("2" + PADDING);
		assertThat(this.inForce).containsExactly(1L);
		this.later.remove(0).run();
		assertThat(this.inForce).containsExactly(1L, 2L).inOrder();
	}

	@Test
	void aSmallLaterPlanIsNotReplacedByALargeEarlierOneThatWasReadMeanwhile() {
		this.published.all(List.of(plan("1")), 0);
		change("2" + PADDING);
		change("3");
		this.later.remove(0).run();
		assertThat(this.inForce).containsExactly(1L, 3L).inOrder();
	}

	private void change(String value) {
		this.published.changed(List.of(new StoreChange("plan", Optional.of(plan(value)), 1)), 0);
	}

	private static StoreItem plan(String value) {
		return new StoreItem("plan", value);
	}

	/**
	 * Does nothing before it is told to.
	 */
	private final class Later implements BackgroundWork {

		@Override
		public <T> void run(Supplier<T> work, Consumer<T> receiver) {
			PlanAndTargetsTests.this.later.add(() -> receiver.accept(work.get()));
		}

	}

	/**
	 * Plans that consist of their version.
	 */
	private static final class Plans implements ServingSource {

		@Override
		public FollowOutputs calls(Supplier<StoreFollower> follower) {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean isPlan(String key) {
			return key.equals("plan");
		}

		@Override
		public String targetId(String key) {
			return "";
		}

		@Override
		public String evacuatedDataCentre(String key) {
			return key.startsWith("evacuate/") ? key.substring("evacuate/".length()) : "";
		}

		@Override
		public Either<String, ServingPlan> plan(StoreItem item) {
			return Either.right(new ServingPlan(Long.parseLong(item.value().trim()), List.of(), Map.of(), Map.of(),
					new RequestLimits(1, 1, 1, 1)));
		}

		@Override
		public Either<String, ListedTarget> target(StoreItem item) {
			return Either.left("no target");
		}

		@Override
		public List<String> readinessPaths() {
			return List.of("/");
		}

	}

	private static final class Nobody implements DirectoryListener {

		@Override
		public void listed(ListedTarget target) {
			// Not looked at.
		}

		@Override
		public void joined(ListedTarget target) {
			// Nobody listens.
		}

		@Override
		public void leaving(ListedTarget target, LeavingCause cause) {
			// Nobody listens.
		}

		@Override
		public void gone(ListedTarget target) {
			// Nobody listens.
		}

	}

	private static final class NoEvacuations implements EvacuationListener {

		@Override
		public void evacuated(String dataCentre) {
			// Not looked at.
		}

		@Override
		public void takenBack(String dataCentre) {
			// Not looked at.
		}

	}

}
