package dev.laneworks.core.gossip;

import java.util.Objects;

import dev.laneworks.core.directory.TargetRun;

/**
 * The work that one entry has, or several have, at a target.
 *
 * @param target the run of the target that the work is at
 * @param requests the requests sent there that have not ended
 * @param heldTokens the engine memory that they hold and will soon hold, copies included
 * @param unreadTokens the tokens of prompts of which no answer has begun
 * @param toMove the generations that are to be moved away because the target is leaving
 * @param copying whether a generation is being copied from or to the target now
 * @param refused the connections that the target refused since one came up last
 * @param leaving whether the target itself said to the entry that it is leaving
 * @since 0.2
 */
public record WorkAtTarget(TargetRun target, int requests, long heldTokens, long unreadTokens, int toMove,
		boolean copying, int refused, boolean leaving) {

	public WorkAtTarget {
		Objects.requireNonNull(target, "target must not be null");
	}

	/**
	 * Return that there is no work at a target.
	 * @param target the run of the target
	 * @return work of which every count is zero
	 */
	public static WorkAtTarget none(TargetRun target) {
		return new WorkAtTarget(target, 0, 0, 0, 0, false, 0, false);
	}

	/**
	 * Return the sum of this work and other work at the same target.
	 * @param other the other work
	 * @return the sum
	 */
	public WorkAtTarget plus(WorkAtTarget other) {
		return new WorkAtTarget(this.target, this.requests + other.requests, this.heldTokens + other.heldTokens,
				this.unreadTokens + other.unreadTokens, this.toMove + other.toMove, this.copying || other.copying,
				this.refused + other.refused, this.leaving || other.leaving);
	}

}
