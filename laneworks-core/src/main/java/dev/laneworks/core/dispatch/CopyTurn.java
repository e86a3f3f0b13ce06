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
	 * Return whether no other process copies anything from or to either of two engines
	 * now, so that a copy between them which has time delays nobody.
	 * @param source the engine to be copied from
	 * @param destination the engine to be copied to
	 * @return whether their links are free, as far as is known
	 */
	boolean isQuiet(ListedTarget source, ListedTarget destination);

}
