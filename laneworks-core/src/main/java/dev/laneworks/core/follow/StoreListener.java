package dev.laneworks.core.follow;

import java.util.List;

/**
 * Receives the items of a store and changes to them from a {@link StoreFollower}.
 *
 * @since 0.2
 */
public interface StoreListener {

	/**
	 * Handle a new read of all items.
	 * @param items the items, which replace all earlier ones
	 * @param now the current time in milliseconds
	 */
	void itemsRead(List<StoreItem> items, long now);

	/**
	 * Handle changes.
	 * @param changes the changes; those received from other processes may arrive ahead of
	 * earlier ones
	 * @param now the current time in milliseconds
	 */
	void itemsChanged(List<StoreChange> changes, long now);

	/**
	 * Handle the differences that a read of all items found, before {@link #itemsRead} is
	 * called.
	 * @param missed the differences, as changes at the revision that was read
	 */
	void changesMissed(List<StoreChange> missed);

	/**
	 * Handle that other processes have changes that this one lacks. Called once each time
	 * this process falls behind.
	 * @param known the revision up to which this process has all changes
	 * @param reported the revision that another process reported
	 */
	void fellBehind(long known, long reported);

	/**
	 * Handle that this process has all changes again that other processes have.
	 * @param known the revision up to which this process has all changes
	 * @param lagMillis how long it lacked some, in milliseconds
	 * @since 0.7
	 */
	void caughtUp(long known, long lagMillis);

	/**
	 * Handle that the store was restored from an older copy, before {@link #itemsRead} is
	 * called. Items that it lacks may soon be written again, and those it holds may be
	 * outdated.
	 * @param known the position known before
	 * @param at the position that is read now
	 * @param now the current time in milliseconds
	 */
	void storeRestored(long known, long at, long now);

	/**
	 * Handle that the store has become unreachable.
	 * @param cause the cause of the failed call
	 */
	void storeUnreachable(String cause);

	/**
	 * Handle that a further call failed while the store is unreachable, and for another
	 * cause than the call before.
	 * @param cause the cause of the failed call
	 * @param consecutive the number of consecutive failed calls
	 * @since 0.7
	 */
	void callFailedAgain(String cause, int consecutive);

	/**
	 * Handle that an answer to a watch was too large, so that all items are read instead.
	 * @param known the revision up to which this process has all changes
	 * @since 0.7
	 */
	void watchAnswerTooLarge(long known);

	/**
	 * Handle that an overdue watch was restarted because it returned nothing of a change
	 * that other processes have.
	 * @param consecutive the number of consecutive overdue watches
	 * @param waitedMillis how long the watch was idle, in milliseconds
	 */
	void watchRestarted(int consecutive, long waitedMillis);

	/**
	 * Handle that the store is reachable again for other processes but not yet for this
	 * one, before their changes are passed on.
	 * @param now the current time in milliseconds
	 */
	void recoveryReported(long now);

	/**
	 * Handle that the store is reachable again, before its answer is passed on.
	 * @param awayMillis how long it was unreachable, in milliseconds
	 * @param mayHaveBeenAway whether the store itself may have been down for long enough
	 * that entries of healthy targets expired; {@code false} if other processes reached
	 * it throughout
	 * @param now the current time in milliseconds
	 */
	void storeReachable(long awayMillis, boolean mayHaveBeenAway, long now);

}
