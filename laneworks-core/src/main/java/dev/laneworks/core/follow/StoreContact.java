package dev.laneworks.core.follow;

import java.util.OptionalLong;

/**
 * Revision and age of a process's view of a store.
 *
 * @since 0.8
 */
public interface StoreContact {

	/**
	 * Return the revision up to which this process has all changes.
	 * @return the revision, or empty before the first read or snapshot
	 */
	OptionalLong appliedRevision();

	/**
	 * Return the time since the last contact with the store or a process that reads it.
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds
	 */
	long silentMillis(long now);

}
