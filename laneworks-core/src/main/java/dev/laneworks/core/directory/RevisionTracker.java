package dev.laneworks.core.directory;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Orders the updates about each target's list entry by the list's revisions.
 * <p>
 * An update may come from a read, a watch, another process or a snapshot transfer, each
 * with its own delay, so that an older one may arrive later. Revisions order them
 * independently of the targets' clocks. Not thread-safe.
 */
final class RevisionTracker {

	/**
	 * Bounds the memory, which includes targets that are gone. Late updates arrive within
	 * seconds, in which a fleet cannot replace that many targets.
	 */
	private static final int MAX_TARGETS = 4_096;

	private final Map<String, Long> newestRevisions = new LinkedHashMap<>();

	/**
	 * Record an update about a target's list entry.
	 * @param id the target's id
	 * @param revision the list's revision of the update; an update without one counts as
	 * the newest
	 * @return {@code false} if a newer update was recorded before
	 */
	boolean recordIfInOrder(String id, long revision) {
		if (revision == TargetListing.UNKNOWN_REVISION) {
			return true;
		}
		Long known = this.newestRevisions.remove(id);
		boolean isInOrder = known == null || revision >= known;
		this.newestRevisions.put(id, isInOrder ? revision : known);
		if (this.newestRevisions.size() > MAX_TARGETS) {
			this.newestRevisions.remove(this.newestRevisions.keySet().iterator().next());
		}
		return isInOrder;
	}

	/**
	 * Determine whether an update newer than a revision was recorded for a target.
	 * @param id the target's id
	 * @param revision the revision to compare with
	 * @return {@code false} also if either revision is not known
	 */
	boolean isNewerThan(String id, long revision) {
		return revision != TargetListing.UNKNOWN_REVISION
				&& this.newestRevisions.getOrDefault(id, TargetListing.UNKNOWN_REVISION) > revision;
	}

}
