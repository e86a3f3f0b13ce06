package dev.laneworks.core.directory;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The runs of targets that are gone, in the order in which they went.
 * <p>
 * An entry that is written late brings a run back to the list that has ended, at an
 * address that another target has taken since; its revision is the newer one. Who was
 * there first is known by whose run went first. Not thread-safe.
 */
final class EndedRuns {

	/**
	 * How many runs are remembered. An entry is written late by seconds, in which a fleet
	 * of a thousand targets may start again as a whole.
	 */
	private static final int MOST_RUNS = 1_024;

	private final Map<TargetRun, Ended> ended = new LinkedHashMap<>();

	private long count;

	void add(ListedTarget target) {
		this.ended.remove(target.run());
		this.ended.put(target.run(), new Ended(target.address(), this.count++));
		if (this.ended.size() > MOST_RUNS) {
			this.ended.remove(this.ended.keySet().iterator().next());
		}
	}

	// Whether a run of a target went, as far as is remembered.
	boolean contains(TargetRun run) {
		return this.ended.containsKey(run);
	}

	/**
	 * Return whether a target that is listed had its address before another one that is
	 * known there.
	 * @param listed the target that is listed
	 * @param known the other one
	 * @return {@code false} also where it is not known to have been there
	 */
	boolean wasBefore(ListedTarget listed, ListedTarget known) {
		Ended one = this.ended.get(listed.run());
		if (one == null || !one.address.equals(listed.address())) {
			return false;
		}
		Ended other = this.ended.get(known.run());
		return other == null || one.number < other.number;
	}

	private record Ended(String address, long number) {

	}

}
