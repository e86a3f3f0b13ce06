package dev.laneworks.core.follow;

import java.util.Objects;
import java.util.Optional;

/**
 * A change in a store: an item was written or its key was removed.
 *
 * @param key the key
 * @param item the item as written; empty if the key was removed
 * @param revision the store's revision of the change
 * @since 0.2
 */
public record StoreChange(String key, Optional<StoreItem> item, long revision) {

	public StoreChange {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(item, "item must not be null");
	}

}
