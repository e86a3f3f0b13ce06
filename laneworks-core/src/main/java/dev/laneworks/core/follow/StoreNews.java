package dev.laneworks.core.follow;

import java.util.List;
import java.util.Objects;

/**
 * What one process that reads a store tells others of it.
 *
 * @param reader the name of the instance that reads
 * @param from the revision before the changes
 * @param to the revision that the reader knows
 * @param changes all changes behind {@code from} up to {@code to} in their order; empty
 * if there are none, or if they were too large to be told
 * @param asks whether the sender asks for all behind {@code from} instead of telling
 * @since 0.2
 */
public record StoreNews(String reader, long from, long to, List<StoreChange> changes, boolean asks) {

	public StoreNews {
		Objects.requireNonNull(reader, "reader must not be null");
		changes = List.copyOf(changes);
	}

}
