package dev.laneworks.core.follow;

import java.util.Objects;

/**
 * An item of a store.
 *
 * @param key the item's key
 * @param value what it holds
 * @since 0.2
 */
public record StoreItem(String key, String value) {

	public StoreItem {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(value, "value must not be null");
	}

}
