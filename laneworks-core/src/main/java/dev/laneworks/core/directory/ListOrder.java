package dev.laneworks.core.directory;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The order of what is heard of each target's entry, by the list's revisions.
 * <p>
 * An entry is read, watched, told by others and handed over, each with a delay of its
 * own, so that what was written earlier may be heard later. The list's revision orders it
 * whatever the time of day is at the targets. Not thread-safe.
 */
final class ListOrder {

	/**
	 * Of how many targets the newest revision is kept, those that are gone included. What
	 * is heard late is so by seconds; a fleet of a thousand targets that all start again
	 * with new ids has to do so three times for one that is listed to be forgotten.
	 */
	private static final int MOST_TARGETS = 4_096;

	private final Map<String, Long> newest = new LinkedHashMap<>();

	/**
	 * Take that something is heard of a target's entry.
	 * @param id the target's id
	 * @param revision the list's revision of it; what has none is as new as its arrival
	 * @return {@code false} if something newer was heard before
	 */
	boolean isInOrder(String id, long revision) {
		if (revision == Listing.UNKNOWN_REVISION) {
			return true;
		}
		Long known = this.newest.remove(id);
		boolean isInOrder = known == null || revision >= known;
		this.newest.put(id, isInOrder ? revision : known);
		if (this.newest.size() > MOST_TARGETS) {
			this.newest.remove(this.newest.keySet().iterator().next());
		}
		return isInOrder;
	}

	/**
	 * Return whether a target was heard of at a revision behind another one.
	 * @param id the target's id
	 * @param revision the other revision
	 * @return {@code false} also where no revision is known of either
	 */
	boolean isKnownBehind(String id, long revision) {
		return revision != Listing.UNKNOWN_REVISION
				&& this.newest.getOrDefault(id, Listing.UNKNOWN_REVISION) > revision;
	}

}
