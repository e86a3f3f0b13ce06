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
import dev.laneworks.core.directory.Listing;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.serving.ServingPlan;
import io.vavr.control.Either;

/**
 * Brings the targets' entries of the store into the directory, as far as they name a
 * target to use.
 * <p>
 * An entry that can't be read names none. A target that is known is sent nothing new
 * while its entry can't be read, and goes on with what it runs: nothing tells that it
 * ends, and moving its streams away would cost their callers a pause. A target whose
 * service no plan names is held back, and taken as soon as a plan names it; until then it
 * must not count as the one that took over another target's address. One that is known
 * stays when a plan ceases to name its service, since it may run streams. Not
 * thread-safe.
 */
final class TargetEntries {

	private final ServingSource source;

	private final TargetDirectory directory;

	private final Evacuations evacuations;

	private final RefusedItems refused;

	private final AuditSink audit;

	/** The targets of services that no plan names, by the keys of their entries. */
	private final Map<String, Listing> unnamed = new HashMap<>();

	private Optional<ServingPlan> plan = Optional.empty();

	TargetEntries(ServingSource source, TargetDirectory directory, Evacuations evacuations, RefusedItems refused,
			AuditSink audit) {
		this.source = source;
		this.directory = directory;
		this.evacuations = evacuations;
		this.refused = refused;
		this.audit = audit;
	}

	// Take a plan that came in force.
	void use(ServingPlan inForce) {
		this.plan = Optional.of(inForce);
		this.directory.together(() -> Map.copyOf(this.unnamed).forEach((key, listing) -> {
			if (isNamed(listing.target())) {
				this.unnamed.remove(key);
				take(key, listing.target());
				this.directory.put(listing);
			}
			else {
				tellUnnamed(key, listing.target());
			}
		}));
	}

	// Forget the targets that are held back, since all entries are to be read anew.
	void forgetUnnamed() {
		this.unnamed.clear();
	}

	/**
	 * Take all entries, read anew.
	 * @param entries the items that are targets' entries
	 * @param now the time in milliseconds
	 */
	void replaceAll(List<StoreItem> entries, long now) {
		forgetUnnamed();
		List<Listing> listed = new ArrayList<>();
		for (StoreItem entry : entries) {
			long revision = entry.revision();
			usable(entry, revision).or(() -> withheld(entry).map((t) -> new Listing(t, revision)))
				.ifPresent(listed::add);
		}
		this.directory.replaceAll(listed, now);
		this.evacuations.withheld().forEach(this::releaseIfGone);
	}

	/**
	 * Take an entry that was written.
	 * @param entry the item
	 * @param revision the store's revision of that
	 */
	void put(StoreItem entry, long revision) {
		this.unnamed.remove(entry.key());
		usable(entry, revision).ifPresentOrElse(this.directory::put, () -> withheld(entry));
	}

	/**
	 * Take that an entry went.
	 * @param key its key
	 * @param revision the store's revision of that
	 * @param now the time in milliseconds
	 */
	void remove(String key, long revision, long now) {
		String id = this.source.targetId(key);
		this.unnamed.remove(key);
		this.directory.remove(id, revision, now);
		releaseIfGone(id);
	}

	// A target that lapsed may come back, and then as it was.
	private void releaseIfGone(String id) {
		if (this.directory.find(id).isEmpty()) {
			this.evacuations.release(id);
		}
	}

	private Optional<Listing> usable(StoreItem entry, long revision) {
		Either<String, ListedTarget> read = this.source.target(entry);
		if (read.isLeft()) {
			refuse(entry.key(), read.getLeft());
			return Optional.empty();
		}
		ListedTarget target = read.get();
		if (!isNamed(target) && !isKnownAs(target)) {
			this.unnamed.put(entry.key(), new Listing(target, revision));
			tellUnnamed(entry.key(), target);
			return Optional.empty();
		}
		take(entry.key(), target);
		return Optional.of(new Listing(target, revision));
	}

	private void take(String key, ListedTarget target) {
		this.refused.forget(key);
		if (this.evacuations.release(target.id())) {
			this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, target.id(), target.id(),
					"its entry can be used again, it takes work"));
		}
	}

	private Optional<ListedTarget> withheld(StoreItem entry) {
		Optional<ListedTarget> known = this.directory.find(this.source.targetId(entry.key()));
		known.filter((t) -> this.evacuations.withhold(t.id()))
			.ifPresent((t) -> this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, t.id(), t.id(),
					"its entry can't be used: it is sent nothing new and goes on with what it runs")));
		return known;
	}

	private boolean isNamed(ListedTarget target) {
		return this.plan.filter((p) -> p.namesService(target.service())).isPresent();
	}

	private boolean isKnownAs(ListedTarget target) {
		return this.directory.find(target.id()).filter((t) -> t.service().equals(target.service())).isPresent();
	}

	// Before the first plan nothing is wrong with a target that is held back.
	private void tellUnnamed(String key, ListedTarget target) {
		if (this.plan.isPresent()) {
			refuse(key, "no route or service of the plan names its service '" + target.service() + "'");
		}
	}

	private void refuse(String key, String fault) {
		this.refused.refuse(key, AuditEvent.of(AuditKind.ITEM_REFUSED, key, "", fault));
	}

}
