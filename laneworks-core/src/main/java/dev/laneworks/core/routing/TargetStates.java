package dev.laneworks.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Table of the recorded state of each target. Not thread-safe.
 *
 * @since 0.1
 */
public final class TargetStates {

	private final Map<String, TargetState> states = new HashMap<>();

	/**
	 * Return the state of a target, and create it if the target is new.
	 * @param target the name of the target
	 * @return the state
	 */
	public TargetState state(String target) {
		return this.states.computeIfAbsent(target, (t) -> new TargetState());
	}

	/**
	 * Remove all targets except the given ones.
	 * @param targets the names of the targets to keep
	 */
	public void retain(Set<String> targets) {
		this.states.keySet().retainAll(targets);
	}

}
