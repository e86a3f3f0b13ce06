package dev.laneworks.core.call;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.configuration.FleetConfiguration;

/**
 * Knows the sidecars of targets by their incarnations.
 */
final class Sidecars {

	/** The sidecars whose links are up. */
	private final Map<String, Long> incarnations = new HashMap<>();

	/** The sidecars heard last, whether or not their links are up. */
	private final Map<String, Long> lastIncarnations = new HashMap<>();

	/**
	 * Take that the link to a sidecar is up.
	 * @param target the target's name
	 * @param incarnation the incarnation of its sidecar
	 * @return whether the sidecar is not the one heard last
	 */
	boolean linkUp(String target, long incarnation) {
		this.incarnations.put(target, incarnation);
		Long former = this.lastIncarnations.put(target, incarnation);
		return former == null || former != incarnation;
	}

	/**
	 * Take that the link to a sidecar is down.
	 * @param target the target's name
	 * @return whether it was up
	 */
	boolean linkDown(String target) {
		return this.incarnations.remove(target) != null;
	}

	boolean isUp(String target) {
		return this.incarnations.containsKey(target);
	}

	// The incarnation of a target's sidecar; empty if its link is down.
	Optional<Long> incarnation(String target) {
		return Optional.ofNullable(this.incarnations.get(target));
	}

	void forgetAllBut(FleetConfiguration configuration) {
		this.lastIncarnations.keySet().removeIf((t) -> configuration.target(t).isEmpty());
	}

}
