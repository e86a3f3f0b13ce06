package dev.laneworks.core.follow;

import java.util.Optional;

/**
 * Makes the calls of a {@link StoreFollower} to the store.
 *
 * @since 0.2
 */
public interface StoreCalls {

	/**
	 * Read a page of items.
	 * @param call the number of the call, returned with its answer
	 * @param afterKey the last key of the previous page; empty for the first page
	 */
	void readPage(long call, Optional<String> afterKey);

	/**
	 * Wait for changes.
	 * @param call the number of the call, returned with its answer
	 * @param revision the revision after which changes are requested
	 * @param waitMillis how long the store may hold the call, in milliseconds
	 * @param maxCharacters the length of values beyond which the answer is not read but
	 * reported to {@link StoreFollower#watchAnswerTooLarge}
	 */
	void watch(long call, long revision, long waitMillis, long maxCharacters);

	/**
	 * Probe the store on a connection of its own, with the cheapest request that it
	 * offers. Any answer except a rejection is reported to
	 * {@link StoreFollower#probeAnswered} with the revision that it names. A failure is
	 * not reported.
	 */
	void probe();

	/**
	 * Cancel the open call.
	 */
	void cancel();

}
