package dev.laneworks.core.follow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The items of a store as known to one process: all up to a revision, and single later
 * changes that other processes sent ahead of it.
 * <p>
 * A change applies once per key and never after a newer change of that key. Otherwise a
 * late change could restore an item that was removed.
 */
final class ItemCache {

	private final SortedMap<String, StoreItem> itemsByKey = new TreeMap<>();

	/** The newest change of each key that was received ahead of the revision. */
	private final Map<String, StoreChange> outOfOrder = new HashMap<>();

	private long revision;

	// The revision up to which all changes are applied.
	long revision() {
		return this.revision;
	}

	// The length of the values of all items.
	long characters() {
		return this.itemsByKey.values().stream().mapToLong((i) -> i.value().length()).sum();
	}

	// All items at the revision, in the order of their keys.
	List<StoreItem> items() {
		return List.copyOf(this.itemsByKey.values());
	}

	/**
	 * Replace all items with those of a new read.
	 * @param all the items
	 * @param at the revision that they include at least
	 * @return the items, with the changes received ahead of the revision applied
	 */
	List<StoreItem> replace(Collection<StoreItem> all, long at) {
		this.revision = at;
		this.itemsByKey.clear();
		all.forEach((i) -> this.itemsByKey.put(i.key(), i));
		dropApplied();
		SortedMap<String, StoreItem> known = new TreeMap<>(this.itemsByKey);
		this.outOfOrder.values().forEach((c) -> apply(c, known));
		return List.copyOf(known.values());
	}

	/**
	 * Compare a new read of all items with the known ones.
	 * @param all the items
	 * @param at the revision that they include at least
	 * @return the differences as changes at that revision, without keys of which a later
	 * change is known
	 */
	List<StoreChange> missedChanges(Collection<StoreItem> all, long at) {
		Map<String, StoreItem> itemsBefore = new TreeMap<>(this.itemsByKey);
		this.outOfOrder.values().forEach((c) -> apply(c, itemsBefore));
		Map<String, StoreItem> itemsRead = new TreeMap<>();
		all.forEach((i) -> itemsRead.put(i.key(), i));
		Set<String> keys = new TreeSet<>(itemsBefore.keySet());
		keys.addAll(itemsRead.keySet());
		List<StoreChange> missed = new ArrayList<>();
		for (String key : keys) {
			if (outOfOrderRevision(key) <= at && !hasSameValue(itemsBefore.get(key), itemsRead.get(key))) {
				missed.add(new StoreChange(key, Optional.ofNullable(itemsRead.get(key)), at));
			}
		}
		return missed;
	}

	/**
	 * Apply all changes up to a revision.
	 * @param changes the changes in their order, which may include known ones
	 * @param at the revision
	 * @return the changes that were not known before
	 */
	List<StoreChange> advance(List<StoreChange> changes, long at) {
		List<StoreChange> newChanges = new ArrayList<>();
		for (StoreChange change : changes) {
			if (change.revision() > this.revision) {
				apply(change, this.itemsByKey);
				if (change.revision() > outOfOrderRevision(change.key())) {
					newChanges.add(change);
				}
			}
		}
		this.revision = Math.max(this.revision, at);
		dropApplied();
		return newChanges;
	}

	/**
	 * Apply changes that may follow a gap.
	 * @param changes the changes in their order
	 * @return the changes that were not known before
	 */
	List<StoreChange> applyOutOfOrder(List<StoreChange> changes) {
		List<StoreChange> newChanges = new ArrayList<>();
		for (StoreChange change : changes) {
			if (change.revision() > Math.max(this.revision, outOfOrderRevision(change.key()))) {
				this.outOfOrder.put(change.key(), change);
				newChanges.add(change);
			}
		}
		return newChanges;
	}

	// Compares values only, since the revision of an item from another process may be
	// unknown.
	private static boolean hasSameValue(StoreItem one, StoreItem other) {
		return (one == null || other == null) ? one == other : one.value().equals(other.value());
	}

	private long outOfOrderRevision(String key) {
		return Optional.ofNullable(this.outOfOrder.get(key)).map(StoreChange::revision).orElse(Long.MIN_VALUE);
	}

	private void dropApplied() {
		this.outOfOrder.values().removeIf((c) -> c.revision() <= this.revision);
	}

	private static void apply(StoreChange change, Map<String, StoreItem> items) {
		change.item().ifPresentOrElse((i) -> items.put(change.key(), i), () -> items.remove(change.key()));
	}

}
