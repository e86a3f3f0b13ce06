package dev.laneworks.core.handover;

import java.util.List;

import dev.laneworks.core.follow.StoreItem;

/**
 * All items of a store as one process knows them.
 *
 * @param revision the store's revision that they belong to
 * @param ageMillis how long ago the process last heard of the store, in milliseconds
 * @param items the items, in the order of their keys
 * @since 0.2
 */
public record StoreState(long revision, long ageMillis, List<StoreItem> items) {

	public StoreState {
		if (revision < 0 || ageMillis < 0) {
			throw new IllegalArgumentException("revision and age must not be negative");
		}
		items = List.copyOf(items);
	}

}
