package dev.laneworks.core.directory;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The incarnations of targets that are gone, in the order in which they ended.
 * <p>
 * An entry written late can restore an ended incarnation to the list with a newer
 * revision, at an address that another target has used since. The order in which
 * incarnations ended shows which of the two was there first. Not thread-safe.
 */
final class EndedIncarnations {

	/**
	 * Bounds the memory; covers a restart of a large fleet within the delay of a late
	 * entry.
	 */
	private static final int MAX_INCARNATIONS = 1_024;

	private final Map<TargetIncarnation, Ended> ended = new LinkedHashMap<>();

	private long count;

	void add(ListedTarget target) {
		this.ended.remove(target.incarnation());
		this.ended.put(target.incarnation(), new Ended(target.address(), this.count++));
		if (this.ended.size() > MAX_INCARNATIONS) {
			this.ended.remove(this.ended.keySet().iterator().next());
		}
	}

	boolean contains(TargetIncarnation incarnation) {
		return this.ended.containsKey(incarnation);
	}

	/**
	 * Determine whether a listed target was at its address before another target that is
	 * known there.
	 * @param listed the listed target
	 * @param known the other target
	 * @return {@code false} also if the listed target is not known to have been there
	 */
	boolean wasAtAddressBefore(ListedTarget listed, ListedTarget known) {
		Ended endedListed = this.ended.get(listed.incarnation());
		if (endedListed == null || !endedListed.address.equals(listed.address())) {
			return false;
		}
		Ended endedKnown = this.ended.get(known.incarnation());
		return endedKnown == null || endedListed.number < endedKnown.number;
	}

	private record Ended(String address, long number) {

	}

}
