package dev.laneworks.core.poison;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Crash of a target with the prompts of the requests that may have caused it.
 */
final class CrashedTarget {

	/** The most prompts to keep of one crash; bounds the memory. */
	private static final int MAX_SUSPECTS = 32;

	private final TargetIncarnation incarnation;

	private final Set<PromptPartDigests> suspects = new LinkedHashSet<>();

	private long at;

	CrashedTarget(TargetIncarnation incarnation, long at) {
		this.incarnation = incarnation;
		this.at = at;
	}

	TargetIncarnation incarnation() {
		return this.incarnation;
	}

	// The earliest time at which a connection to the target ended.
	long at() {
		return this.at;
	}

	Set<PromptPartDigests> suspects() {
		return this.suspects;
	}

	/**
	 * Add what one process observed of the crash.
	 * @param prompts the prompts of its requests at the target
	 * @param observedAt the time of the crash in milliseconds
	 * @return {@code true} if the prompts add to what is known
	 */
	boolean merge(List<PromptPartDigests> prompts, long observedAt) {
		this.at = Math.min(this.at, observedAt);
		int before = this.suspects.size();
		prompts.stream().limit(Math.max(0, MAX_SUSPECTS - before)).forEach(this.suspects::add);
		return this.suspects.size() > before;
	}

	PartObservation.Crash observation(long now) {
		return new PartObservation.Crash(this.incarnation, Math.max(0, now - this.at), List.copyOf(this.suspects));
	}

}
