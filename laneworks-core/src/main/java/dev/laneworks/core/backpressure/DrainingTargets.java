package dev.laneworks.core.backpressure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Records which targets reported that they are draining.
 * <p>
 * Draining is final for an incarnation, whatever the list of targets contains: the list
 * may be stale. An incarnation therefore stays recorded while it is not listed. Not
 * thread-safe.
 */
final class DrainingTargets {

	/**
	 * The retention of an incarnation after its latest report, in milliseconds; exceeds
	 * both the longest outage of the list and the time that a draining target may keep
	 * running.
	 */
	private static final long RETENTION_MILLIS = 600_000;

	/**
	 * The time for which a report to this entry is announced to others, in milliseconds.
	 * Reports from other entries are not passed on, since they would circulate forever.
	 */
	private static final long ANNOUNCE_MILLIS = 60_000;

	/** The most incarnations in one update; bounds its size. */
	private static final int MAX_ANNOUNCED = 64;

	/**
	 * The time of the latest report for each incarnation, from itself or from another
	 * entry.
	 */
	private final Map<TargetIncarnation, Long> lastRecordedAt = new HashMap<>();

	/** The time of the latest report of each incarnation to this entry. */
	private final Map<TargetIncarnation, Long> lastReportedAt = new HashMap<>();

	/**
	 * Record that a target reported to this entry that it is draining.
	 * @param target the incarnation of the target
	 * @param now the current time in milliseconds
	 * @return {@code true} if this is its first report, which must be announced at once
	 */
	boolean recordOwnReport(TargetIncarnation target, long now) {
		recordDraining(target, now);
		return this.lastReportedAt.put(target, now) == null;
	}

	/**
	 * Record that a target is draining.
	 * @param target the incarnation of the target
	 * @param now the current time in milliseconds
	 * @return {@code true} if this was not recorded before
	 */
	boolean recordDraining(TargetIncarnation target, long now) {
		this.lastRecordedAt.values().removeIf((t) -> now - t > RETENTION_MILLIS);
		this.lastReportedAt.keySet().retainAll(this.lastRecordedAt.keySet());
		return this.lastRecordedAt.put(target, now) == null;
	}

	boolean contains(TargetIncarnation target) {
		return !this.lastRecordedAt.isEmpty() && this.lastRecordedAt.containsKey(target);
	}

	boolean isEmpty() {
		return this.lastRecordedAt.isEmpty();
	}

	// The incarnations to announce to others, the most recent first.
	List<TargetIncarnation> toAnnounce(long now) {
		return this.lastReportedAt.entrySet()
			.stream()
			.filter((e) -> now - e.getValue() <= ANNOUNCE_MILLIS)
			.sorted(Map.Entry.<TargetIncarnation, Long>comparingByValue().reversed())
			.limit(MAX_ANNOUNCED)
			.map(Map.Entry::getKey)
			.toList();
	}

}
