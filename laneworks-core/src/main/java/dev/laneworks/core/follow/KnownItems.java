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
 * The items of a store as one process knows them: all up to a revision, and single
 * changes beyond it that others told.
 * <p>
 * A change counts once for each key and never behind a newer one of the same key: a
 * change that is told late, or read behind one that was heard ahead of it, would
 * otherwise bring back what is gone.
 */
final class KnownItems {

	private final SortedMap<String, StoreItem> held = new TreeMap<>();

	/** The newest change of each key that was heard ahead of the revision. */
	private final Map<String, StoreChange> ahead = new HashMap<>();

	private long revision;

	// The revision up to which all changes are known.
	long revision() {
		return this.revision;
	}

	// All items at the revision, in the order of their keys.
	List<StoreItem> items() {
		return List.copyOf(this.held.values());
	}

	/**
	 * Take all items, read anew.
	 * @param all the items
	 * @param at the revision that they belong to at least
	 * @return the items, with the changes that were heard ahead of them
	 */
	List<StoreItem> replace(Collection<StoreItem> all, long at) {
		this.revision = at;
		this.held.clear();
		all.forEach((i) -> this.held.put(i.key(), i));
		forgetPast();
		SortedMap<String, StoreItem> known = new TreeMap<>(this.held);
		this.ahead.values().forEach((c) -> apply(c, known));
		return List.copyOf(known.values());
	}

	/**
	 * Return how all items, read anew, differ from those known here.
	 * @param all the items
	 * @param at the revision that they belong to at least
	 * @return the changes that were missed, as if made at the revision; none for keys of
	 * which a later change was heard
	 */
	List<StoreChange> missedOf(Collection<StoreItem> all, long at) {
		Map<String, StoreItem> before = new TreeMap<>(this.held);
		this.ahead.values().forEach((c) -> apply(c, before));
		Map<String, StoreItem> read = new TreeMap<>();
		all.forEach((i) -> read.put(i.key(), i));
		Set<String> keys = new TreeSet<>(before.keySet());
		keys.addAll(read.keySet());
		List<StoreChange> missed = new ArrayList<>();
		for (String key : keys) {
			if (revisionAhead(key) <= at && !holdsTheSame(before.get(key), read.get(key))) {
				missed.add(new StoreChange(key, Optional.ofNullable(read.get(key)), at));
			}
		}
		return missed;
	}

	/**
	 * Take all changes up to a revision.
	 * @param changes the changes in their order; those known already are passed over
	 * @param at the revision
	 * @return the changes that are news
	 */
	List<StoreChange> advance(List<StoreChange> changes, long at) {
		List<StoreChange> fresh = new ArrayList<>();
		for (StoreChange change : changes) {
			if (change.revision() > this.revision) {
				apply(change, this.held);
				if (change.revision() > revisionAhead(change.key())) {
					fresh.add(change);
				}
			}
		}
		this.revision = Math.max(this.revision, at);
		forgetPast();
		return fresh;
	}

	/**
	 * Take changes before which others may be missing.
	 * @param changes the changes in their order
	 * @return the changes that are news
	 */
	List<StoreChange> hear(List<StoreChange> changes) {
		List<StoreChange> fresh = new ArrayList<>();
		for (StoreChange change : changes) {
			if (change.revision() > Math.max(this.revision, revisionAhead(change.key()))) {
				this.ahead.put(change.key(), change);
				fresh.add(change);
			}
		}
		return fresh;
	}

	// Of an item that another process handed over the revision is not known.
	private static boolean holdsTheSame(StoreItem one, StoreItem other) {
		return (one == null || other == null) ? one == other : one.value().equals(other.value());
	}

	private long revisionAhead(String key) {
		return Optional.ofNullable(this.ahead.get(key)).map(StoreChange::revision).orElse(Long.MIN_VALUE);
	}

	private void forgetPast() {
		this.ahead.values().removeIf((c) -> c.revision() <= this.revision);
	}

	private static void apply(StoreChange change, Map<String, StoreItem> items) {
		change.item().ifPresentOrElse((i) -> items.put(change.key(), i), () -> items.remove(change.key()));
	}

}
