package dev.laneworks.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Keeps what an entry believes of each target.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class TargetBoard {

	private final Map<String, TargetState> states = new HashMap<>();

	/**
	 * Return the state of a target.
	 * @param target the target's name
	 * @return the state, a fresh one if the target is new
	 */
	public TargetState state(String target) {
		return this.states.computeIfAbsent(target, (t) -> new TargetState());
	}

	/**
	 * Forget all targets but these.
	 * @param targets the names of the targets to keep
	 */
	public void retain(Set<String> targets) {
		this.states.keySet().retainAll(targets);
	}

}
