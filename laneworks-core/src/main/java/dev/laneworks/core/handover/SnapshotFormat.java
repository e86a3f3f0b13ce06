package dev.laneworks.core.handover;

import java.util.List;
import java.util.Optional;

import dev.laneworks.core.follow.StoreItem;

/**
 * Encoding of store items for a snapshot transfer.
 *
 * @since 0.2
 */
public interface SnapshotFormat {

	/**
	 * Encode items.
	 * @param items the items
	 * @return the bytes, identical for equal items
	 */
	byte[] encode(List<StoreItem> items);

	/**
	 * Decode items.
	 * @param bytes untrusted bytes
	 * @return the items; empty if the bytes are invalid
	 */
	Optional<List<StoreItem>> decode(byte[] bytes);

}
