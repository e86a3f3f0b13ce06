package dev.laneworks.entry.direct;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.follow.FollowOutputs;
import dev.laneworks.core.follow.StoreFollower;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.serving.ServingPlan;
import io.vavr.control.Either;

/**
 * The store that a platform publishes its plan and its targets in.
 *
 * @since 0.2
 */
public interface ServingSource {

	/**
	 * Return what makes the calls of a follower.
	 * @param follower takes the answers
	 * @return the calls
	 */
	FollowOutputs calls(Supplier<StoreFollower> follower);

	/**
	 * Return whether a key holds the plan.
	 * @param key the key
	 * @return whether {@link #plan} reads it
	 */
	boolean isPlan(String key);

	/**
	 * Return the id of the target whose entry a key holds.
	 * @param key the key
	 * @return the id, or empty text if it holds no target's entry
	 */
	String targetId(String key);

	/**
	 * Return the data centre that a key, while it stands in the store, asks to evacuate.
	 * @param key the key
	 * @return the data centre, or empty text if the key asks for no evacuation
	 */
	String evacuatedDataCentre(String key);

	/**
	 * Return what is wrong with a key that is of a known kind and yet names nothing of
	 * it, such as an evacuation of no data centre.
	 * @param key the key
	 * @return the fault, or empty if there is none; {@link #targetId} and
	 * {@link #evacuatedDataCentre} give empty text for a key with a fault
	 * @since 0.3
	 */
	default Optional<String> keyFault(String key) {
		return Optional.empty();
	}

	/**
	 * Read the plan.
	 * @param item the item
	 * @return the plan, or why it can't be read
	 */
	Either<String, ServingPlan> plan(StoreItem item);

	/**
	 * Read a target's entry.
	 * @param item the item
	 * @return the target, or why it can't be read
	 */
	Either<String, ListedTarget> target(StoreItem item);

	/**
	 * Return the paths under which the platform asks whether the process is ready.
	 * @return the paths, at least one
	 */
	List<String> readinessPaths();

}
