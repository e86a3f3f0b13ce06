package dev.laneworks.core.handover;

import java.util.List;

import dev.laneworks.core.follow.StoreItem;

/**
 * Snapshot of all items of a store, as recorded by one process.
 *
 * @param revision the revision of the store
 * @param ageMillis the time since the process last received data of the store, in
 * milliseconds
 * @param items the items, sorted by key
 * @since 0.2
 */
public record StoreSnapshot(long revision, long ageMillis, List<StoreItem> items) {

	public StoreSnapshot {
		if (revision < 0 || ageMillis < 0) {
			throw new IllegalArgumentException("revision and ageMillis must not be negative");
		}
		items = List.copyOf(items);
	}

}
