package dev.laneworks.core.follow;

import java.util.Objects;

/**
 * An item of a store.
 *
 * @param key the item's key
 * @param value the item's content
 * @param revision the store's revision of its last change, or {@link #UNKNOWN_REVISION}
 * @since 0.2
 */
public record StoreItem(String key, String value, long revision) {

	/** The revision of an item whose last change is not known. */
	public static final long UNKNOWN_REVISION = 0;

	public StoreItem {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(value, "value must not be null");
	}

	/**
	 * Create an item whose last change is not known.
	 * @param key the item's key
	 * @param value the item's content
	 */
	public StoreItem(String key, String value) {
		this(key, value, UNKNOWN_REVISION);
	}

}
