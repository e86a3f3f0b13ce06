package dev.laneworks.entry.direct;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.follow.StoreCalls;
import dev.laneworks.core.follow.StoreFollower;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.serving.ServingPlan;
import io.vavr.control.Either;

/**
 * Store in which a platform publishes its plan and its targets.
 *
 * @since 0.2
 */
public interface ConfigurationSource {

	/**
	 * Return the store calls for a follower.
	 * @param follower the supplier of the follower that receives the answers
	 * @return the outputs of the follower
	 */
	StoreCalls storeCalls(Supplier<StoreFollower> follower);

	/**
	 * Determine whether a key holds the plan.
	 * @param key the key of a store item
	 * @return {@code true} if {@link #plan} reads the item
	 */
	boolean isPlan(String key);

	/**
	 * Return the id of the target that a key registers.
	 * @param key the key of a store item
	 * @return the target id, or empty text if the key is no registration
	 */
	String targetId(String key);

	/**
	 * Return the data centre that a key marks as evacuated while it exists.
	 * @param key the key of a store item
	 * @return the data centre, or empty text if the key requests no evacuation
	 */
	String evacuatedDataCentre(String key);

	/**
	 * Return the fault of a key that has a known prefix but no valid name, such as an
	 * evacuation without a data centre.
	 * @param key the key of a store item
	 * @return the fault, or empty if there is none; {@link #targetId} and
	 * {@link #evacuatedDataCentre} return empty text for a key with a fault
	 * @since 0.3
	 */
	default Optional<String> keyFault(String key) {
		return Optional.empty();
	}

	/**
	 * Parse the plan.
	 * @param item the store item
	 * @return the plan, or the reason why it is unreadable
	 */
	Either<String, ServingPlan> plan(StoreItem item);

	/**
	 * Parse the registration of a target.
	 * @param item the store item
	 * @return the target, or the reason why it is unreadable
	 */
	Either<String, ListedTarget> target(StoreItem item);

	/**
	 * Return the paths of the readiness check.
	 * @return at least one path
	 */
	List<String> readinessPaths();

}
