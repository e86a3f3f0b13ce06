package dev.laneworks.core.follow;

import java.util.OptionalLong;

/**
 * What a process knows of a store, and how old it is.
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
	 * Return the time since the store, or another process that reads it, was last heard.
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds
	 */
	long silentMillis(long now);

}
