package dev.laneworks.core.dispatch;

/**
 * Tells this entry's place among those that are known, so that each of them can work out
 * its own part of what all may do together.
 *
 * @since 0.3
 */
public interface EntryRanks {

	/**
	 * Return how many entries there are, as far as is known.
	 * @return the count, this one included
	 */
	int entries();

	/**
	 * Return how many entries rank before this one for a target. Entries that know each
	 * other rank themselves alike, and otherwise for each target.
	 * @param target the target's id
	 * @return the count; 0 for the first
	 */
	int before(String target);

}
