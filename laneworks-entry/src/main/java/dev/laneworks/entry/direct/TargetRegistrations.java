package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.Evacuations;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.directory.TargetListing;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.serving.ServingPlan;
import io.vavr.control.Either;

/**
 * Registrations of targets in the platform's store, applied to the target directory.
 * <p>
 * A known target whose registration becomes unreadable receives no new requests and
 * finishes those it executes: nothing indicates that it ends, and moving its streams
 * would interrupt their callers.
 * <p>
 * A new target whose service no plan names stays pending until a plan names it. Until
 * then it does not supersede another target at the same address. A known target stays
 * when a plan no longer names its service, since it may execute streams. Not thread-safe.
 */
final class TargetRegistrations {

	private final ConfigurationSource source;

	private final TargetDirectory directory;

	private final Evacuations evacuations;

	private final RefusedItems refused;

	private final AuditSink audit;

	/**
	 * The targets of services that no plan names, by the keys of their registrations.
	 */
	private final Map<String, TargetListing> pending = new HashMap<>();

	private Optional<ServingPlan> plan = Optional.empty();

	TargetRegistrations(ConfigurationSource source, TargetDirectory directory, Evacuations evacuations,
			RefusedItems refused, AuditSink audit) {
		this.source = source;
		this.directory = directory;
		this.evacuations = evacuations;
		this.refused = refused;
		this.audit = audit;
	}

	// Apply a new active plan.
	void use(ServingPlan activePlan) {
		this.plan = Optional.of(activePlan);
		this.directory.batch(() -> Map.copyOf(this.pending).forEach((key, listing) -> {
			if (isNamed(listing.target())) {
				this.pending.remove(key);
				accept(key, listing.target());
				this.directory.put(listing);
			}
			else {
				reportUnknownService(key, listing.target());
			}
		}));
	}

	// Discard the pending targets before all registrations are read again.
	void forgetPending() {
		this.pending.clear();
	}

	/**
	 * Replace all registrations after a full read.
	 * @param items the store items that are registrations of targets
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void replaceAll(List<StoreItem> items, long now) {
		forgetPending();
		List<TargetListing> listed = new ArrayList<>();
		for (StoreItem item : items) {
			long revision = item.revision();
			readListing(item, revision).or(() -> withheld(item).map((t) -> new TargetListing(t, revision)))
				.ifPresent(listed::add);
		}
		this.directory.replaceAll(listed, now);
		this.evacuations.withheld().forEach(this::releaseIfGone);
	}

	/**
	 * Apply a written registration.
	 * @param item the store item
	 * @param revision the store revision of the write
	 */
	void put(StoreItem item, long revision) {
		this.pending.remove(item.key());
		readListing(item, revision).ifPresentOrElse(this.directory::put, () -> withheld(item));
	}

	/**
	 * Apply the removal of a registration.
	 * @param key the key of the registration
	 * @param revision the store revision of the removal
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void remove(String key, long revision, long now) {
		String id = this.source.targetId(key);
		this.pending.remove(key);
		this.directory.remove(id, revision, now);
		releaseIfGone(id);
	}

	// A lapsed target stays known and withheld, since it may register again.
	private void releaseIfGone(String id) {
		if (this.directory.find(id).isEmpty()) {
			this.evacuations.release(id);
		}
	}

	private Optional<TargetListing> readListing(StoreItem item, long revision) {
		Either<String, ListedTarget> read = this.source.target(item);
		if (read.isLeft()) {
			refuse(item.key(), read.getLeft());
			return Optional.empty();
		}
		ListedTarget target = read.get();
		if (!isNamed(target) && !isKnownAs(target)) {
			this.pending.put(item.key(), new TargetListing(target, revision));
			reportUnknownService(item.key(), target);
			return Optional.empty();
		}
		accept(item.key(), target);
		return Optional.of(new TargetListing(target, revision));
	}

	private void accept(String key, ListedTarget target) {
		this.refused.forget(key);
		if (this.evacuations.release(target.id())) {
			this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, target.id(), target.id(),
					"its registration is usable again: it receives requests"));
		}
	}

	private Optional<ListedTarget> withheld(StoreItem item) {
		Optional<ListedTarget> known = this.directory.find(this.source.targetId(item.key()));
		known.filter((t) -> this.evacuations.withhold(t.id()))
			.ifPresent((t) -> this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, t.id(), t.id(),
					"its registration cannot be used: it receives no new requests and finishes those it executes")));
		return known;
	}

	private boolean isNamed(ListedTarget target) {
		return this.plan.filter((p) -> p.refersToService(target.service())).isPresent();
	}

	private boolean isKnownAs(ListedTarget target) {
		return this.directory.find(target.id()).filter((t) -> t.service().equals(target.service())).isPresent();
	}

	// Before the first plan a pending target is no fault.
	private void reportUnknownService(String key, ListedTarget target) {
		if (this.plan.isPresent()) {
			refuse(key, "no route or service of the plan names its service '" + target.service() + "'");
		}
	}

	private void refuse(String key, String fault) {
		this.refused.refuse(key, AuditEvent.of(AuditKind.ITEM_REFUSED, key, "", fault));
	}

}
