package dev.laneworks.entry.direct;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.Evacuations;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.follow.FollowListener;
import dev.laneworks.core.follow.StoreChange;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.follow.StorePosition;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.time.Timers;
import dev.laneworks.runtime.http.BackgroundWork;
import io.vavr.control.Either;

/**
 * Keeps the plan in force, the directory of targets and the evacuations as the store
 * tells them.
 * <p>
 * Only a plan with a higher version replaces the one in force, so that a late or repeated
 * read changes nothing, and neither does one that can't be read. What stands under one
 * key never touches what stands under another.
 */
final class PlanAndTargets implements FollowListener {

	/**
	 * From how many characters on a plan is read beside the I/O thread, on which streams
	 * would pause for longer than callers allow meanwhile.
	 */
	private static final int LARGE_PLAN = 16 * 1024;

	/**
	 * For how long an evacuation goes on that an older copy of the store lacks, in
	 * milliseconds: the operator writes it again within that time, or has taken it back.
	 */
	private static final long EVACUATIONS_KEPT_MILLIS = 4_000;

	/** How many of the items that were missed a line names; a line stays short. */
	private static final int MISSED_NAMED = 8;

	private final ServingSource source;

	private final TargetDirectory directory;

	private final Evacuations evacuations;

	private final Consumer<ServingPlan> inForce;

	private final AuditSink audit;

	private final BackgroundWork background;

	private final RefusedItems refused;

	private final TargetEntries targets;

	private Optional<ServingPlan> plan = Optional.empty();

	private boolean hasRead;

	private final Timers timers;

	/** The data centres that the store says are evacuated. */
	private final Set<String> evacuationsListed = new HashSet<>();

	/** Up to when evacuations that an older copy lacks go on, in milliseconds. */
	private long evacuationsKeptUntil = Long.MIN_VALUE;

	private volatile int histories;

	PlanAndTargets(ServingSource source, TargetDirectory directory, Evacuations evacuations,
			Consumer<ServingPlan> inForce, AuditSink audit, BackgroundWork background, Timers timers) {
		this.timers = timers;
		this.source = source;
		this.directory = directory;
		this.evacuations = evacuations;
		this.inForce = inForce;
		this.audit = audit;
		this.background = background;
		this.refused = new RefusedItems(audit);
		this.targets = new TargetEntries(source, directory, evacuations, this.refused, audit);
	}

	Optional<ServingPlan> plan() {
		return this.plan;
	}

	// Return whether a plan and the list of targets were read.
	boolean isComplete() {
		return this.hasRead && this.plan.isPresent();
	}

	// How many items of the store can't be used.
	int refusedItems() {
		return this.refused.count();
	}

	@Override
	public void all(List<StoreItem> items, long now) {
		this.refused.retain(items.stream().map(StoreItem::key).collect(Collectors.toSet()));
		// Before the targets, so that work goes to none that is not to be sent any.
		this.evacuationsListed.clear();
		items.stream()
			.map((i) -> this.source.evacuatedDataCentre(i.key()))
			.filter((d) -> !d.isEmpty())
			.forEach(this.evacuationsListed::add);
		this.evacuationsListed.forEach(this.evacuations::begin);
		endEvacuationsNotListed(now);
		items.forEach((i) -> tellKeyFault(i.key()));
		// Before a plan that may name their services: some may be listed no more.
		this.targets.forgetUnnamed();
		items.stream().filter((i) -> this.source.isPlan(i.key())).forEach(this::takePlan);
		this.targets.replaceAll(items.stream().filter((i) -> isTarget(i.key())).toList(), now);
		this.hasRead = true;
	}

	@Override
	public void changed(List<StoreChange> changes, long now) {
		this.directory.together(() -> changes.forEach((c) -> take(c, now)));
	}

	private void take(StoreChange change, long now) {
		takeEvacuation(change);
		if (change.item().isEmpty()) {
			this.refused.forget(change.key());
			if (isTarget(change.key())) {
				this.targets.remove(change.key(), change.revision(), now);
			}
			return;
		}
		tellKeyFault(change.key());
		if (this.source.isPlan(change.key())) {
			takePlan(change.item().get());
		}
		else if (isTarget(change.key())) {
			this.targets.put(change.item().get(), change.revision());
		}
	}

	private boolean isTarget(String key) {
		return !this.source.targetId(key).isEmpty();
	}

	private void tellKeyFault(String key) {
		this.source.keyFault(key)
			.ifPresent((f) -> this.refused.refuse(key, AuditEvent.of(AuditKind.ITEM_REFUSED, key, "", f)));
	}

	// What stands under the key does not matter: it asks for as long as it is there.
	private void takeEvacuation(StoreChange change) {
		String dataCentre = this.source.evacuatedDataCentre(change.key());
		if (dataCentre.isEmpty()) {
			return;
		}
		if (change.item().isPresent()) {
			this.evacuationsListed.add(dataCentre);
			this.evacuations.begin(dataCentre);
		}
		else {
			this.evacuationsListed.remove(dataCentre);
			this.evacuations.end(dataCentre);
		}
	}

	private void endEvacuationsNotListed(long now) {
		if (now >= this.evacuationsKeptUntil) {
			this.evacuations.replaceAll(Set.copyOf(this.evacuationsListed));
		}
	}

	// How often the store has come back from an older copy.
	int histories() {
		return this.histories;
	}

	@Override
	public void historyReplaced(long known, long at, long now) {
		this.histories++;
		this.audit
			.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "store", "", "back from an older copy: revision "
					+ StorePosition.of(at) + ", known before up to revision " + StorePosition.of(known)));
		this.directory.historyReplaced(now);
		this.evacuationsKeptUntil = now + EVACUATIONS_KEPT_MILLIS;
		this.timers.at(this.evacuationsKeptUntil, this::endEvacuationsNotListed);
	}

	@Override
	public void missed(List<StoreChange> missed) {
		String keys = missed.stream()
			.limit(MISSED_NAMED)
			.map((c) -> c.key() + (c.item().isPresent() ? "" : " gone"))
			.collect(Collectors.joining(", "));
		this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "store", "",
				"read anew; " + missed.size() + " changes had not been heard of: " + keys));
	}

	@Override
	public void behind(long known, long told) {
		this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "store", "", "behind: others know revision "
				+ StorePosition.of(told) + ", here all up to " + StorePosition.of(known) + " is known"));
	}

	@Override
	public void askedAnew(int inARow, long waitedMillis) {
		this.audit
			.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "store", "", "asked anew for what others know: "
					+ "nothing arrived for " + waitedMillis + " ms, " + inARow + " times in a row"));
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
	public void regained(long awayMillis, boolean mayHaveBeenAway, long now) {
		if (mayHaveBeenAway) {
			this.directory.regained(now);
		}
		this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "store", "", "back after " + awayMillis + " ms"
				+ (mayHaveBeenAway ? "" : ", in which others heard it or it was silent only briefly")));
	}

	// The first plan is waited for, and nothing is held up by it.
	private void takePlan(StoreItem item) {
		if (this.plan.isPresent() && item.value().length() > LARGE_PLAN) {
			this.background.run(() -> this.source.plan(item), (read) -> planRead(item.key(), read));
		}
		else {
			planRead(item.key(), this.source.plan(item));
		}
	}

	private void planRead(String key, Either<String, ServingPlan> read) {
		if (read.isLeft()) {
			this.refused.refuse(key, AuditEvent.of(AuditKind.CONFIGURATION_REFUSED, "plan", "", read.getLeft()));
			return;
		}
		this.refused.forget(key);
		ServingPlan fresh = read.get();
		if (this.plan.isPresent() && fresh.version() <= this.plan.get().version()) {
			return;
		}
		this.plan = Optional.of(fresh);
		this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_ACCEPTED, "plan", "", "version " + fresh.version()));
		this.inForce.accept(fresh);
		this.targets.use(fresh);
	}

}
