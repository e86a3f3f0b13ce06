package dev.laneworks.core.backpressure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.laneworks.core.directory.TargetRun;

/**
 * Remembers which targets said in an answer that they are leaving.
 * <p>
 * A run that leaves does not stay after all, whatever the list says: the list learns of
 * it late while it can't be written, and may come back from an older copy. So a run is
 * remembered also while it is not listed. Not thread-safe.
 */
final class LeavingTargets {

	/**
	 * For how long a run is remembered behind its last word, in milliseconds; longer than
	 * a list may be out of reach and a target may serve on.
	 */
	private static final long REMEMBERED_MILLIS = 600_000;

	/**
	 * For how long others are told of a run that said so to this entry, in milliseconds.
	 * What others told is not passed on, or it would go round among entries for good.
	 */
	private static final long TOLD_MILLIS = 60_000;

	/** The most runs that others are told of at once, so that news stay small. */
	private static final int MOST_TOLD = 64;

	/** When each run was last heard to be leaving, by its own word or another entry's. */
	private final Map<TargetRun, Long> heardAt = new HashMap<>();

	/** When each run said so to this entry last. */
	private final Map<TargetRun, Long> saidAt = new HashMap<>();

	/**
	 * Take that a run of a target said to this entry that it is leaving.
	 * @param target the run
	 * @param now the time in milliseconds
	 * @return whether others are to be told at once
	 */
	boolean said(TargetRun target, long now) {
		heard(target, now);
		return this.saidAt.put(target, now) == null;
	}

	/**
	 * Take that a run of a target is leaving.
	 * @param target the run
	 * @param now the time in milliseconds
	 * @return whether that is new
	 */
	boolean heard(TargetRun target, long now) {
		this.heardAt.values().removeIf((t) -> now - t > REMEMBERED_MILLIS);
		this.saidAt.keySet().retainAll(this.heardAt.keySet());
		return this.heardAt.put(target, now) == null;
	}

	boolean contains(TargetRun target) {
		return !this.heardAt.isEmpty() && this.heardAt.containsKey(target);
	}

	boolean isEmpty() {
		return this.heardAt.isEmpty();
	}

	// The runs of which others are told, the newest ones first.
	List<TargetRun> toTell(long now) {
		return this.saidAt.entrySet()
			.stream()
			.filter((e) -> now - e.getValue() <= TOLD_MILLIS)
			.sorted(Map.Entry.<TargetRun, Long>comparingByValue().reversed())
			.limit(MOST_TOLD)
			.map(Map.Entry::getKey)
			.toList();
	}

}
