package dev.laneworks.core.handover;

import java.util.List;
import java.util.Optional;

import dev.laneworks.core.follow.StoreItem;

/**
 * The form in which items travel.
 *
 * @since 0.2
 */
public interface StateForm {

	/**
	 * Write items.
	 * @param items the items
	 * @return their bytes, the same for the same items
	 */
	byte[] write(List<StoreItem> items);

	/**
	 * Read items.
	 * @param bytes bytes that may come from anywhere
	 * @return the items; empty if these are not the bytes of any
	 */
	Optional<List<StoreItem>> read(byte[] bytes);

}
