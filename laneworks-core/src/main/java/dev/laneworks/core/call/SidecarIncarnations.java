package dev.laneworks.core.call;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.configuration.FleetConfiguration;

/**
 * Current and last known incarnation of each target's sidecar.
 */
final class SidecarIncarnations {

	/** Incarnations of sidecars whose links are up. */
	private final Map<String, Long> incarnations = new HashMap<>();

	/** Last known incarnations, whether or not the links are up. */
	private final Map<String, Long> lastIncarnations = new HashMap<>();

	/**
	 * Record that the link to a sidecar is up.
	 * @param target the name of the sidecar's target
	 * @param incarnation the incarnation of the sidecar
	 * @return {@code true} if the incarnation differs from the last known one
	 */
	boolean recordUp(String target, long incarnation) {
		this.incarnations.put(target, incarnation);
		Long previous = this.lastIncarnations.put(target, incarnation);
		return previous == null || previous != incarnation;
	}

	/**
	 * Record that the link to a sidecar is down.
	 * @param target the name of the sidecar's target
	 * @return {@code true} if the link was up
	 */
	boolean recordDown(String target) {
		return this.incarnations.remove(target) != null;
	}

	boolean isUp(String target) {
		return this.incarnations.containsKey(target);
	}

	// Returns empty if the link to the target's sidecar is down.
	Optional<Long> incarnation(String target) {
		return Optional.ofNullable(this.incarnations.get(target));
	}

	void retainTargets(FleetConfiguration configuration) {
		this.lastIncarnations.keySet().removeIf((t) -> configuration.target(t).isEmpty());
	}

}
