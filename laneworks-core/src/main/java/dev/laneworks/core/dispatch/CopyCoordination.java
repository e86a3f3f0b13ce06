package dev.laneworks.core.dispatch;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Coordinates the processes that copy generations away from the same engine.
 * <p>
 * Copies from one engine share its link. If each process waits for its turn, every
 * generation resumes as soon as its own copy is complete instead of at the end of all
 * copies.
 *
 * @since 0.2
 */
public interface CopyCoordination {

	/**
	 * Determine whether this process may order copies from an engine now.
	 * @param source the draining engine
	 * @param sinceNotice the time since the reclaim notice of the engine, in milliseconds
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if copies may be ordered
	 */
	boolean isOwnTurn(ListedTarget source, long sinceNotice, long now);

	/**
	 * Determine whether no other process is known to copy from or to either of two
	 * engines, so that a copy between them delays no urgent one.
	 * @param source the engine to copy from
	 * @param destination the engine to copy to
	 * @return {@code true} if the links of both engines are free according to the last
	 * gossip update
	 */
	boolean areLinksIdle(ListedTarget source, ListedTarget destination);

}
