package dev.laneworks.core.dispatch;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Tells whether this process may copy generations away from an engine now, or others go
 * first.
 * <p>
 * Copies from one engine share its link. Where each waits for its turn, every generation
 * is moved as soon as its own copy is made instead of all at the end of all copies.
 *
 * @since 0.2
 */
public interface CopyTurn {

	/**
	 * Return whether it is this process's turn.
	 * @param source the engine
	 * @param sinceNotice how long ago the engine's leaving was heard, in milliseconds
	 * @param now the time in milliseconds
	 * @return whether copies may be ordered
	 */
	boolean isOurs(ListedTarget source, long sinceNotice, long now);

	/**
	 * Return whether no other process copies anything now, so that a copy which has time
	 * delays nobody.
	 * @return whether the links are free, as far as is known
	 */
	boolean isQuiet();

}
