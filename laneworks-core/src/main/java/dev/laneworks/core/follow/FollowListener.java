package dev.laneworks.core.follow;

import java.util.List;

/**
 * Hears of a store's items.
 *
 * @since 0.2
 */
public interface FollowListener {

	/**
	 * Take all items, read anew.
	 * @param items the items
	 * @param now the time in milliseconds
	 */
	void all(List<StoreItem> items, long now);

	/**
	 * Take changes in the order in which they were made.
	 * @param changes the changes
	 * @param now the time in milliseconds
	 */
	void changed(List<StoreChange> changes, long now);

	/**
	 * Hear what a reading of all items found that this process had not heard of, before
	 * the items are passed on.
	 * @param missed the changes, as if made at the revision that was read
	 */
	void missed(List<StoreChange> missed);

	/**
	 * Hear that others know of changes that this process has not read yet, the first time
	 * and when it has caught up.
	 * @param known the revision up to which this process knows all changes
	 * @param told the revision that others told of
	 */
	void behind(long known, long told);

	/**
	 * Hear that the store has come back from an older copy, before all its items are
	 * given. What it lacks may be written again soon; what it holds may be outdated.
	 * @param known the position up to which it was known before
	 * @param at the position that is read now
	 * @param now the time in milliseconds
	 */
	void historyReplaced(long known, long at, long now);

	/**
	 * Hear that the store is out of reach.
	 * @param cause what was seen
	 */
	void lost(String cause);

	/**
	 * Take that a change which others know of is asked for anew, since nothing of an
	 * answer arrived.
	 * @param inARow how often that was so in a row
	 * @param waitedMillis how long an answer was waited for, in milliseconds
	 */
	void askedAnew(int inARow, long waitedMillis);

	/**
	 * Hear that the store is back for others though not yet for this process, before what
	 * they tell is passed on.
	 * @param now the time in milliseconds
	 */
	void returnHeard(long now);

	/**
	 * Hear that the store is within reach again, before its answer is passed on.
	 * @param awayMillis how long it was out of reach, in milliseconds
	 * @param mayHaveBeenAway whether the store itself may have been away, for long enough
	 * that entries lapsed whose targets are well; {@code false} where others heard it all
	 * the while
	 * @param now the time in milliseconds
	 */
	void regained(long awayMillis, boolean mayHaveBeenAway, long now);

}
