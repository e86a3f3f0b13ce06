package dev.laneworks.core.dispatch;

/**
 * Rank of this entry among all known entries, from which each entry derives its own share
 * of a fleet-wide limit.
 *
 * @since 0.3
 */
public interface EntryRanks {

	/**
	 * Return the number of known entries.
	 * @return the count, including this entry
	 */
	int entries();

	/**
	 * Return the number of entries that rank before this one for a target. Entries that
	 * know the same entries compute the same ranking, which differs between targets.
	 * @param target the target's id
	 * @return the count; 0 for the first entry
	 */
	int rankFor(String target);

}
