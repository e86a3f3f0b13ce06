package dev.laneworks.core.gossip;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Latest state of another entry, as received in its updates.
 * <p>
 * At least one update must be applied before any other method is called.
 */
final class Peer {

	/** The number of missed heartbeats in a row after which an entry is removed. */
	private static final int MAX_MISSED_HEARTBEATS = 3;

	/** The tolerated delay of a heartbeat, in milliseconds. */
	private static final long HEARTBEAT_TOLERANCE_MILLIS = 200;

	private final Map<TargetIncarnation, WorkAtTarget> work = new HashMap<>();

	/** The time since which consecutive updates report a copy from or to a target. */
	private final Map<TargetIncarnation, Long> copyingSince = new HashMap<>();

	private LoadUpdate latest;

	private long receivedAt;

	private long againMillis;

	/**
	 * Apply an update, which must be newer than all before.
	 * @param update the load update, complete or partial
	 * @param now the current time in milliseconds
	 * @return the incarnations of the targets at which the work may have changed
	 */
	Set<TargetIncarnation> apply(LoadUpdate update, long now) {
		Set<TargetIncarnation> affected = new HashSet<>();
		if (!update.partial()) {
			affected.addAll(this.work.keySet());
			this.work.clear();
			this.againMillis = update.nextWithinMillis();
		}
		for (WorkAtTarget reported : update.work()) {
			affected.add(reported.target());
			this.work.put(reported.target(), reported);
		}
		affected.forEach((t) -> trackCopying(t, now));
		this.latest = update;
		this.receivedAt = now;
		this.againMillis = Math.max(this.againMillis, update.nextWithinMillis());
		return affected;
	}

	private void trackCopying(TargetIncarnation target, long now) {
		if (reportedWork(target).filter(WorkAtTarget::copying).isPresent()) {
			this.copyingSince.putIfAbsent(target, now);
		}
		else {
			this.copyingSince.remove(target);
		}
	}

	// The duration of its copies from or to a target in milliseconds; 0 without a copy.
	long copyingFor(TargetIncarnation target, long now) {
		return now - this.copyingSince.getOrDefault(target, now);
	}

	/**
	 * Determine whether an update may replace the latest one.
	 * @param other the update
	 * @return {@code false} if it is from the same process and is not newer
	 */
	boolean isReplacedBy(LoadUpdate other) {
		return isOtherProcess(other) || this.latest.sequence() < other.sequence();
	}

	/**
	 * Determine whether an update is from another process than the latest one.
	 * @param other the update
	 * @return {@code true} if the entry was restarted
	 */
	boolean isOtherProcess(LoadUpdate other) {
		return this.latest.incarnation() != other.incarnation();
	}

	boolean isSilent(long now) {
		return silentMillis(now) > MAX_MISSED_HEARTBEATS * this.againMillis + HEARTBEAT_TOLERANCE_MILLIS;
	}

	// The time since the latest update, in milliseconds.
	long silentMillis(long now) {
		return now - this.receivedAt;
	}

	// The latest update, complete or partial.
	LoadUpdate latest() {
		return this.latest;
	}

	// Its latest reported work at a target; empty if it reported none.
	Optional<WorkAtTarget> reportedWork(TargetIncarnation target) {
		return Optional.ofNullable(this.work.get(target));
	}

	boolean worksAtAnyOf(Collection<TargetIncarnation> targets) {
		return targets.stream().anyMatch((t) -> reportedWork(t).filter((w) -> w.requests() > 0).isPresent());
	}

	Set<TargetIncarnation> targets() {
		return this.work.keySet();
	}

}
