package dev.laneworks.core.gossip;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.directory.TargetRun;

/**
 * What is known of another entry.
 * <p>
 * Nothing is known before news were taken.
 */
final class Peer {

	/** After how many tellings missed in a row an entry counts as gone. */
	private static final int TELLINGS_MISSED = 3;

	/** How much later than told a telling may come, in milliseconds. */
	private static final long LATE_MILLIS = 200;

	private final Map<TargetRun, WorkAtTarget> work = new HashMap<>();

	/** Since when it has copied from or to a target, as told without a break. */
	private final Map<TargetRun, Long> copyingSince = new HashMap<>();

	private EntryNews news;

	private long heardAt;

	private long againMillis;

	/**
	 * Take the entry's news, which are newer than all before.
	 * @param fresh the news
	 * @param now the time in milliseconds
	 * @return the runs of the targets at which its work may have changed
	 */
	Set<TargetRun> take(EntryNews fresh, long now) {
		Set<TargetRun> touched = new HashSet<>();
		if (!fresh.partial()) {
			touched.addAll(this.work.keySet());
			this.work.clear();
			this.againMillis = fresh.againMillis();
		}
		for (WorkAtTarget told : fresh.work()) {
			touched.add(told.target());
			this.work.put(told.target(), told);
		}
		touched.forEach((t) -> followCopying(t, now));
		this.news = fresh;
		this.heardAt = now;
		this.againMillis = Math.max(this.againMillis, fresh.againMillis());
		return touched;
	}

	private void followCopying(TargetRun target, long now) {
		if (at(target).filter(WorkAtTarget::copying).isPresent()) {
			this.copyingSince.putIfAbsent(target, now);
		}
		else {
			this.copyingSince.remove(target);
		}
	}

	// For how long it has copied from or to a target, in milliseconds; 0 if it does not.
	long copyingFor(TargetRun target, long now) {
		return now - this.copyingSince.getOrDefault(target, now);
	}

	/**
	 * Return whether news may replace those taken last.
	 * @param other the news
	 * @return {@code false} if they are of the same process and not newer
	 */
	boolean isReplacedBy(EntryNews other) {
		return isOtherProcess(other) || this.news.sequence() < other.sequence();
	}

	/**
	 * Return whether news come from another process than those taken last.
	 * @param other the news
	 * @return whether the entry was started anew
	 */
	boolean isOtherProcess(EntryNews other) {
		return this.news.incarnation() != other.incarnation();
	}

	// Whether too many tellings in a row are missing.
	boolean isSilent(long now) {
		return silence(now) > TELLINGS_MISSED * this.againMillis + LATE_MILLIS;
	}

	// How long ago it was heard last, in milliseconds.
	long silence(long now) {
		return now - this.heardAt;
	}

	// The news taken last, be they partial or not.
	EntryNews news() {
		return this.news;
	}

	// Its work at a target, as told last; empty if it told of none.
	Optional<WorkAtTarget> at(TargetRun target) {
		return Optional.ofNullable(this.work.get(target));
	}

	boolean worksAtAnyOf(Collection<TargetRun> targets) {
		return targets.stream().anyMatch((t) -> at(t).filter((w) -> w.requests() > 0).isPresent());
	}

	// The runs of the targets that it told of.
	Set<TargetRun> targets() {
		return this.work.keySet();
	}

}
