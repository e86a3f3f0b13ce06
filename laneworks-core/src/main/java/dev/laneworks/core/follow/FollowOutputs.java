package dev.laneworks.core.follow;

import java.util.Optional;

/**
 * The calls that a {@link StoreFollower} makes.
 *
 * @since 0.2
 */
public interface FollowOutputs {

	/**
	 * Read a page of items.
	 * @param call the number of the call, to be given back with its answer
	 * @param afterKey the last key of the page before, if there was one
	 */
	void readPage(long call, Optional<String> afterKey);

	/**
	 * Wait for changes.
	 * @param call the number of the call, to be given back with its answer
	 * @param revision the revision that was seen last
	 * @param waitMillis how long the store may hold the call, in milliseconds
	 */
	void watch(long call, long revision, long waitMillis);

	/**
	 * Ask for a sign of life, on a connection of its own and as cheaply as the store
	 * offers it. Any answer but a refusal is told to {@link StoreFollower#probed}, with
	 * the revision that it names; no answer is told by nothing.
	 */
	void probe();

	/**
	 * Give the open call up.
	 */
	void abandon();

}
