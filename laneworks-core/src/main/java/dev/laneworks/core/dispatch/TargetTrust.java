package dev.laneworks.core.dispatch;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;

/**
 * Tells whether a target may be sent new work, or a generation that goes on at a copy.
 * <p>
 * A copy is trusted no more than the engine that holds it.
 */
final class TargetTrust {

	private final TargetDirectory directory;

	private final TargetBeliefs beliefs;

	TargetTrust(TargetDirectory directory, TargetBeliefs beliefs) {
		this.directory = directory;
		this.beliefs = beliefs;
	}

	// Whether the target is listed, is not leaving and takes connections, as far as is
	// known.
	boolean takesWork(ListedTarget target, long now) {
		return this.directory.takesWork(target.id()) && !this.beliefs.isDoubted(target, now);
	}

}
