package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.directory.DirectoryListener;
import dev.laneworks.core.directory.DrainingCause;
import dev.laneworks.core.directory.EvacuationListener;
import dev.laneworks.core.directory.Evacuations;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.follow.StoreCalls;
import dev.laneworks.core.follow.StoreChange;
import dev.laneworks.core.follow.StoreFollower;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.serving.AccountKeys;
import dev.laneworks.core.serving.RequestLimits;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.time.Timers;
import dev.laneworks.runtime.http.BackgroundExecutor;
import io.vavr.control.Either;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link PlanAndTargets}.
 */
class PlanAndTargetsTests {

	private static final String PADDING = " ".repeat(20_000);

	private final List<Runnable> pendingWork = new ArrayList<>();

	private final Timers timers = new Timers();

	private int failingTasks;

	private final List<Long> activeVersions = new ArrayList<>();

	private final List<AuditEvent> audited = new ArrayList<>();

	private final List<String> membership = new ArrayList<>();

	private final Evacuations evacuations = new Evacuations(new NoEvacuations());

	private final TargetDirectory directory = new TargetDirectory(new Recorder(), this.evacuations, new Timers());

	private final PlanAndTargets published = new PlanAndTargets(new Plans(), this.directory, this.evacuations,
			(p) -> this.activeVersions.add(p.version()), this.audited::add, new DeferredWork(), this.timers);

	@Test
	void readsALargePlanOnABackgroundThread() {
		this.published.itemsRead(List.of(plan("1" + PADDING)), 0);
		assertThat(this.activeVersions).containsExactly(1L);
		change("2" + PADDING);
		assertThat(this.activeVersions).containsExactly(1L);
		this.pendingWork.remove(0).run();
		assertThat(this.activeVersions).containsExactly(1L, 2L).inOrder();
	}

	@Test
	void keepsANewerSmallPlanWhenAnOlderLargeOneFinishesLater() {
		this.published.itemsRead(List.of(plan("1")), 0);
		change("2" + PADDING);
		change("3");
		this.pendingWork.remove(0).run();
		assertThat(this.activeVersions).containsExactly(1L, 3L).inOrder();
	}

	// Guards against a plan that is never read because the first attempt failed.
	@Test
	void readsAPlanAgainAfterItsTaskFailed() {
		this.published.itemsRead(List.of(plan("1")), 0);
		this.failingTasks = 2;
		change("2" + PADDING);
		for (long now = 0; now < 3_000; now += 50) {
			this.pendingWork.forEach(Runnable::run);
			this.pendingWork.clear();
			this.timers.run(now);
		}
		assertThat(this.activeVersions).containsExactly(1L, 2L).inOrder();
		assertThat(audited(AuditKind.CONFIGURATION_REFUSED)).hasSize(2);
	}

	@Test
	void doesNotReadAPlanAgainOnceANewerOneArrived() {
		this.published.itemsRead(List.of(plan("1")), 0);
		this.failingTasks = 1;
		change("2" + PADDING);
		this.pendingWork.remove(0).run();
		change("3");
		this.timers.run(3_000);
		assertThat(this.pendingWork).isEmpty();
		assertThat(this.activeVersions).containsExactly(1L, 3L).inOrder();
	}

	@Test
	void ignoresUnreadableRegistrationsAndAppliesTheOthers() {
		this.published
			.itemsRead(List.of(plan("1 s"), entry("a", "s 10.0.0.1"), entry("b", "?"), entry("c", "s 10.0.0.3")), 0);
		assertThat(this.directory.serving("s").stream().map(ListedTarget::id)).containsExactly("a", "c");
		changed(entry("d", "?"), entry("e", "s 10.0.0.5"));
		assertThat(this.directory.serving("s").stream().map(ListedTarget::id)).containsExactly("a", "c", "e");
		assertThat(refused()).containsExactly("servers/b", "servers/d").inOrder();
	}

	@Test
	void keepsATargetWithoutNewRequestsWhileItsRegistrationIsUnreadable() {
		this.published.itemsRead(List.of(plan("1 s"), entry("a", "s 10.0.0.1")), 0);
		changed(entry("a", "?"));
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		assertThat(this.directory.serving("s")).isEmpty();
		assertThat(this.directory.isAvailable("a")).isTrue();
		this.published.itemsRead(List.of(plan("1 s"), entry("a", "?")), 1);
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		assertThat(this.directory.isAvailable("a")).isTrue();
		changed(entry("a", "s 10.0.0.1"));
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		assertThat(this.membership).containsExactly("joined a");
	}

	@Test
	void fullReadReadmitsATargetWhoseRegistrationIsReadableAgain() {
		this.published.itemsRead(List.of(plan("1 s"), entry("a", "s 10.0.0.1")), 0);
		this.published.itemsRead(List.of(plan("1 s"), entry("a", "?")), 1);
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		this.published.itemsRead(List.of(plan("1 s"), entry("a", "s 10.0.0.1")), 2);
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		assertThat(this.membership).containsExactly("joined a");
	}

	@Test
	void removesATargetWhoseUnreadableRegistrationIsDeleted() {
		this.published.itemsRead(List.of(plan("1 s"), entry("a", "s 10.0.0.1")), 0);
		changed(entry("a", "?"));
		gone("servers/a");
		assertThat(this.membership).containsExactly("joined a", "leaving a", "gone a").inOrder();
		changed(entry("a", "s 10.0.0.1"));
		assertThat(this.directory.acceptsRequests("a")).isTrue();
	}

	@Test
	void withholdsRequestsFromALapsedTargetWithAnUnreadableRegistration() {
		this.published.itemsRead(List.of(plan("1 s"), entry("a", "s 10.0.0.1")), 0);
		changed(entry("a", "?"));
		this.published.storeReachable(5, true, 10);
		gone("servers/a");
		assertThat(this.directory.isAvailable("a")).isTrue();
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		this.published.itemsRead(List.of(plan("1 s")), 20);
		assertThat(this.directory.acceptsRequests("a")).isFalse();
	}

	@Test
	void holdsATargetUntilAPlanNamesItsService() {
		this.published.itemsRead(List.of(plan("1 s"), entry("a", "s 10.0.0.1"), entry("b", "t 10.0.0.2")), 0);
		changed(entry("c", "t 10.0.0.1"));
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		assertThat(this.directory.size()).isEqualTo(1);
		assertThat(refused()).containsExactly("servers/b", "servers/c").inOrder();
		gone("servers/c");
		changed(plan("2 s t"));
		assertThat(this.directory.serving("t").stream().map(ListedTarget::id)).containsExactly("b");
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		changed(plan("3 s"), entry("b", "t 10.0.0.2 leaving"));
		assertThat(this.directory.isAvailable("b")).isFalse();
		assertThat(this.membership).containsExactly("joined a", "joined b", "leaving b").inOrder();
	}

	@Test
	void laterPlanDoesNotAdmitAHeldTargetThatIsNoLongerListed() {
		this.published.itemsRead(List.of(plan("1 s"), entry("b", "t 10.0.0.2")), 0);
		this.published.itemsRead(List.of(plan("1 s")), 1);
		changed(plan("2 s t"));
		assertThat(this.directory.size()).isEqualTo(0);
	}

	@Test
	void planReadWithTheListDoesNotAdmitAHeldTargetThatIsNoLongerListed() {
		this.published.itemsRead(List.of(plan("1 s"), entry("b", "t 10.0.0.2")), 0);
		this.published.itemsRead(List.of(plan("2 s t"), entry("c", "t 10.0.0.3")), 1);
		assertThat(this.membership).containsExactly("joined c");
	}

	@Test
	void sendsNothingNewToATargetThatMovesToAnUnknownService() {
		this.published.itemsRead(List.of(plan("1 s"), entry("a", "s 10.0.0.1")), 0);
		changed(entry("a", "t 10.0.0.1"));
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		assertThat(this.directory.isAvailable("a")).isTrue();
		changed(plan("2 s t"));
		assertThat(this.directory.serving("t")).hasSize(1);
	}

	@Test
	void targetsListedBeforeThePlanServeAfterItArrives() {
		this.published.itemsRead(List.of(entry("a", "s 10.0.0.1"), entry("b", "t 10.0.0.2")), 0);
		assertThat(refused()).isEmpty();
		changed(plan("1 s"));
		assertThat(this.directory.all().stream().map(ListedTarget::id)).containsExactly("a");
		assertThat(refused()).containsExactly("servers/b");
	}

	@Test
	void unreadablePlanChangesNothing() {
		this.published.itemsRead(List.of(plan("1 s"), entry("a", "s 10.0.0.1")), 0);
		changed(plan("?"));
		this.published.itemsRead(List.of(plan("?"), entry("a", "s 10.0.0.1")), 1);
		assertThat(this.published.plan().orElseThrow().version()).isEqualTo(1);
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		assertThat(audited(AuditKind.CONFIGURATION_REFUSED)).hasSize(1);
		gone("plan");
		assertThat(this.published.plan().orElseThrow().version()).isEqualTo(1);
		changed(plan("2 s"));
		assertThat(this.activeVersions).containsExactly(1L, 2L).inOrder();
	}

	@Test
	void reportsAFaultOncePerKeyUntilItChanges() {
		for (int i = 0; i < 5; i++) {
			this.published.itemsRead(List.of(plan("1 s"), entry("a", "?"), entry("b", "t 10.0.0.2")), i);
			changed(entry("a", "?"), entry("b", "t 10.0.0.2"), plan((2 + i) + " s"));
		}
		assertThat(refused()).containsExactly("servers/a", "servers/b");
		assertThat(this.published.refusedItems()).isEqualTo(2);
		changed(entry("a", "s 10.0.0.1"));
		changed(entry("a", "?"));
		gone("servers/b");
		assertThat(refused()).containsExactly("servers/a", "servers/b", "servers/a").inOrder();
		assertThat(this.published.refusedItems()).isEqualTo(1);
		this.published.itemsRead(List.of(plan("1 s")), 9);
		assertThat(this.published.refusedItems()).isEqualTo(0);
	}

	@Test
	void reportsAnEvacuationWithoutADataCentreAndIgnoresIt() {
		this.published.itemsRead(List.of(new StoreItem("evacuate/!", "{}"), new StoreItem("evacuate/z", "?"),
				plan("1 s"), entry("a", "s 10.0.0.1")), 0);
		assertThat(this.evacuations.count()).isEqualTo(1);
		assertThat(refused()).containsExactly("evacuate/!");
		changed(new StoreItem("evacuate/!", "{}"), new StoreItem("evacuate/y", "?"));
		assertThat(this.evacuations.count()).isEqualTo(2);
		gone("evacuate/!");
		gone("evacuate/z");
		assertThat(this.evacuations.count()).isEqualTo(1);
		assertThat(refused()).containsExactly("evacuate/!");
	}

	private List<String> refused() {
		return audited(AuditKind.ITEM_REFUSED);
	}

	private List<String> audited(AuditKind kind) {
		return this.audited.stream().filter((e) -> e.kind() == kind).map(AuditEvent::subject).toList();
	}

	private void change(String value) {
		changed(plan(value));
	}

	private void changed(StoreItem... items) {
		this.published.itemsChanged(Stream.of(items).map((i) -> new StoreChange(i.key(), Optional.of(i), 1)).toList(),
				0);
	}

	private void gone(String key) {
		this.published.itemsChanged(List.of(new StoreChange(key, Optional.empty(), 1)), 20);
	}

	private static StoreItem plan(String value) {
		return new StoreItem("plan", value);
	}

	private static StoreItem entry(String id, String value) {
		return new StoreItem("servers/" + id, value);
	}

	/** Executor whose background tasks run when the test requests it. */
	private final class DeferredWork implements BackgroundExecutor {

		@Override
		public <T> void submit(Supplier<T> task, Consumer<Either<Throwable, T>> receiver) {
			PlanAndTargetsTests.this.pendingWork.add(() -> receiver.accept(run(task)));
		}

		private <T> Either<Throwable, T> run(Supplier<T> task) {
			if (PlanAndTargetsTests.this.failingTasks > 0) {
				PlanAndTargetsTests.this.failingTasks--;
				return Either.left(new OutOfMemoryError("heap"));
			}
			return Either.right(task.get());
		}

	}

	/**
	 * Source with plans of the form {@code VERSION SERVICE...} and targets of the form
	 * {@code SERVICE HOST [leaving]}. A question mark stands for an unreadable value.
	 */
	private static final class Plans implements ConfigurationSource {

		@Override
		public StoreCalls storeCalls(Supplier<StoreFollower> follower) {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean isPlan(String key) {
			return key.equals("plan");
		}

		@Override
		public String targetId(String key) {
			return key.startsWith("servers/") ? key.substring("servers/".length()) : "";
		}

		@Override
		public String evacuatedDataCentre(String key) {
			boolean isOne = key.startsWith("evacuate/") && keyFault(key).isEmpty();
			return isOne ? key.substring("evacuate/".length()) : "";
		}

		@Override
		public Optional<String> keyFault(String key) {
			return key.endsWith("!") ? Optional.of("no data centre") : Optional.empty();
		}

		@Override
		public Either<String, ServingPlan> plan(StoreItem item) {
			if (item.value().equals("?")) {
				return Either.left("no plan");
			}
			String[] words = item.value().trim().split(" ");
			Map<String, ServiceSpec> services = Stream.of(words)
				.skip(1)
				.collect(Collectors.toMap((s) -> s, (s) -> new ServiceSpec(s, 1, 0, Optional.empty())));
			return Either.right(new ServingPlan(Long.parseLong(words[0]), List.of(), services,
					AccountKeys.notRequired(), new RequestLimits(1, 1, 1, 1)));
		}

		@Override
		public Either<String, ListedTarget> target(StoreItem item) {
			if (item.value().equals("?")) {
				return Either.left("no target");
			}
			String[] words = item.value().split(" ");
			return Either
				.right(new ListedTarget(targetId(item.key()), words[0], words[1], 80, "dc", 4, words.length > 2));
		}

		@Override
		public List<String> readinessPaths() {
			return List.of("/");
		}

	}

	private final class Recorder implements DirectoryListener {

		@Override
		public void listed(ListedTarget target) {
			// Not needed.
		}

		@Override
		public void joined(ListedTarget target) {
			PlanAndTargetsTests.this.membership.add("joined " + target.id());
		}

		@Override
		public void draining(ListedTarget target, DrainingCause cause) {
			PlanAndTargetsTests.this.membership.add("leaving " + target.id());
		}

		@Override
		public void gone(ListedTarget target) {
			PlanAndTargetsTests.this.membership.add("gone " + target.id());
		}

	}

	private static final class NoEvacuations implements EvacuationListener {

		@Override
		public void evacuated(String dataCentre) {
			// Not needed.
		}

		@Override
		public void evacuationEnded(String dataCentre) {
			// Not needed.
		}

	}

}
