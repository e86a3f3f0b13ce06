package dev.laneworks.core.gossip;

import java.util.Objects;
import java.util.Optional;

import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.speed.SpeedReport;

/**
 * Work of one entry or several at a target.
 *
 * @param target the incarnation of the target
 * @param requests the number of requests in progress
 * @param reservedTokens the engine memory that they use and will use soon, copies
 * included, in tokens
 * @param pendingPromptTokens the prompt tokens of requests whose answer has not begun
 * @param toMove the number of generations to be moved away because the target is draining
 * @param copying whether a generation is being copied from or to the target
 * @param refused the number of refused connections since the last successful one
 * @param draining whether the target reported to the entry that it is draining
 * @param speed the speed of the target, if it reported one to the entry recently
 * @since 0.2
 */
public record WorkAtTarget(TargetIncarnation target, int requests, long reservedTokens, long pendingPromptTokens,
		int toMove, boolean copying, int refused, boolean draining, Optional<SpeedReport> speed) {

	public WorkAtTarget {
		Objects.requireNonNull(target, "target must not be null");
		Objects.requireNonNull(speed, "speed must not be null");
	}

	/**
	 * Create a record without the speed of the target.
	 * @param target the incarnation of the target
	 * @param requests the number of requests in progress
	 * @param reservedTokens the engine memory that they use and will use soon, in tokens
	 * @param pendingPromptTokens the prompt tokens of requests whose answer has not begun
	 * @param toMove the number of generations to be moved away
	 * @param copying whether a generation is being copied from or to the target
	 * @param refused the number of refused connections since the last successful one
	 * @param draining whether the target reported to the entry that it is draining
	 */
	public WorkAtTarget(TargetIncarnation target, int requests, long reservedTokens, long pendingPromptTokens,
			int toMove, boolean copying, int refused, boolean draining) {
		this(target, requests, reservedTokens, pendingPromptTokens, toMove, copying, refused, draining,
				Optional.empty());
	}

	/**
	 * Return a record without any work at a target.
	 * @param target the incarnation of the target
	 * @return work with all counts at zero
	 */
	public static WorkAtTarget none(TargetIncarnation target) {
		return new WorkAtTarget(target, 0, 0, 0, 0, false, 0, false);
	}

	/**
	 * Add other work at the same target. Speeds are no counts and are left out.
	 * @param other the work of other entries
	 * @return the sum of each count
	 */
	public WorkAtTarget plus(WorkAtTarget other) {
		return new WorkAtTarget(this.target, this.requests + other.requests, this.reservedTokens + other.reservedTokens,
				this.pendingPromptTokens + other.pendingPromptTokens, this.toMove + other.toMove,
				this.copying || other.copying, this.refused + other.refused, this.draining || other.draining);
	}

}
