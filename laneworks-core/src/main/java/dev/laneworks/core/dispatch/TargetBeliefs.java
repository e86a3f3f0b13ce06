package dev.laneworks.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import dev.laneworks.core.directory.ListedTarget;

/**
 * What this process believes of all targets. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetBeliefs {

	private final Map<String, TargetBelief> byId = new HashMap<>();

	/**
	 * Return the belief about a target, which is created when first asked for.
	 * @param target the target
	 * @return the belief
	 */
	public TargetBelief of(ListedTarget target) {
		return this.byId.computeIfAbsent(target.id(), (id) -> new TargetBelief(target));
	}

	/**
	 * Forget a target.
	 * @param id the target's id
	 */
	public void forget(String id) {
		this.byId.remove(id);
	}

	/**
	 * Return all beliefs.
	 * @return the beliefs
	 */
	public Collection<TargetBelief> all() {
		return this.byId.values();
	}

	/**
	 * Return the share of bad answers among the other targets of a target's service.
	 * @param target the target that is left out
	 * @param now the time in milliseconds
	 * @return the mean share, from 0 to 1
	 */
	public double peersBadShare(ListedTarget target, long now) {
		return this.byId.values()
			.stream()
			.filter((b) -> b.target().service().equals(target.service()) && !b.target().id().equals(target.id()))
			.mapToDouble((b) -> b.quality().badShare(now))
			.average()
			.orElse(0);
	}

}
