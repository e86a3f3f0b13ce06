package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.Evacuations;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.Listing;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.follow.FollowListener;
import dev.laneworks.core.follow.StoreChange;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.runtime.http.BackgroundWork;
import io.vavr.control.Either;

/**
 * Keeps the plan in force, the directory of targets and the evacuations as the store
 * tells them.
 * <p>
 * Only a plan with a higher version replaces the one in force, so that a late or repeated
 * read changes nothing.
 */
final class PlanAndTargets implements FollowListener {

	/**
	 * From how many characters on a plan is read beside the I/O thread. One of 350 routes
	 * takes 20 ms of processor time with its answer, 0.08 s on a quarter of a core. Of
	 * 445 streams of such entries 74 paused for longer than callers allow (0.18 s) in the
	 * day of such a plan, and 19 since it is read aside.
	 */
	private static final int LARGE_PLAN = 16 * 1024;

	private final ServingSource source;

	private final TargetDirectory directory;

	private final Evacuations evacuations;

	private final Consumer<ServingPlan> inForce;

	private final AuditSink audit;

	private final BackgroundWork background;

	private Optional<ServingPlan> plan = Optional.empty();

	private boolean hasRead;

	PlanAndTargets(ServingSource source, TargetDirectory directory, Evacuations evacuations,
			Consumer<ServingPlan> inForce, AuditSink audit, BackgroundWork background) {
		this.source = source;
		this.directory = directory;
		this.evacuations = evacuations;
		this.inForce = inForce;
		this.audit = audit;
		this.background = background;
	}

	Optional<ServingPlan> plan() {
		return this.plan;
	}

	// Return whether a plan and the list of targets were read.
	boolean isComplete() {
		return this.hasRead && this.plan.isPresent();
	}

	@Override
	public void all(List<StoreItem> items, long now) {
		List<Listing> targets = new ArrayList<>();
		// Before the targets, so that work goes to none that is not to be sent any.
		this.evacuations.replaceAll(items.stream()
			.map((i) -> this.source.evacuatedDataCentre(i.key()))
			.filter((d) -> !d.isEmpty())
			.toList());
		for (StoreItem item : items) {
			if (this.source.isPlan(item.key())) {
				takePlan(item);
			}
			else if (!this.source.targetId(item.key()).isEmpty()) {
				readTarget(item).ifPresent((t) -> targets.add(new Listing(t, item.revision())));
			}
		}
		this.directory.replaceAll(targets, now);
		this.hasRead = true;
	}

	@Override
	public void changed(List<StoreChange> changes, long now) {
		this.directory.together(() -> take(changes, now));
	}

	private void take(List<StoreChange> changes, long now) {
		for (StoreChange change : changes) {
			takeEvacuation(change);
			String id = this.source.targetId(change.key());
			if (change.item().isEmpty()) {
				if (!id.isEmpty()) {
					this.directory.remove(id, change.revision(), now);
				}
			}
			else if (this.source.isPlan(change.key())) {
				takePlan(change.item().get());
			}
			else if (!id.isEmpty()) {
				readTarget(change.item().get()).ifPresent((t) -> this.directory.put(new Listing(t, change.revision())));
			}
		}
	}

	// What stands under the key does not matter: it asks for as long as it is there.
	private void takeEvacuation(StoreChange change) {
		String dataCentre = this.source.evacuatedDataCentre(change.key());
		if (dataCentre.isEmpty()) {
			return;
		}
		if (change.item().isPresent()) {
			this.evacuations.begin(dataCentre);
		}
		else {
			this.evacuations.end(dataCentre);
		}
	}

	@Override
	public void lost(String cause) {
		this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "store", "", "out of reach: " + cause));
	}

	@Override
	public void returnHeard(long now) {
		this.directory.regained(now);
		this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "store", "",
				"back for other entries, which tell of it"));
	}

	@Override
	public void regained(long awayMillis, long now) {
		this.directory.regained(now);
		this.audit
			.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "store", "", "back after " + awayMillis + " ms"));
	}

	// The first plan is waited for, and nothing is held up by it.
	private void takePlan(StoreItem item) {
		if (this.plan.isPresent() && item.value().length() > LARGE_PLAN) {
			this.background.run(() -> this.source.plan(item), this::planRead);
		}
		else {
			planRead(this.source.plan(item));
		}
	}

	private void planRead(Either<String, ServingPlan> read) {
		if (read.isLeft()) {
			this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_REFUSED, "plan", "", read.getLeft()));
			return;
		}
		ServingPlan fresh = read.get();
		if (this.plan.isPresent() && fresh.version() <= this.plan.get().version()) {
			return;
		}
		this.plan = Optional.of(fresh);
		this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_ACCEPTED, "plan", "", "version " + fresh.version()));
		this.inForce.accept(fresh);
	}

	private Optional<ListedTarget> readTarget(StoreItem item) {
		Either<String, ListedTarget> read = this.source.target(item);
		if (read.isLeft()) {
			this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, item.key(), "", "not understood: " + read.getLeft()));
			return Optional.empty();
		}
		return Optional.of(read.get());
	}

}
