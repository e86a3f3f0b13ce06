package dev.laneworks.core.follow;

import java.util.List;
import java.util.Objects;

/**
 * What one process that reads a store tells others of it, or what one asks that can't
 * read it.
 *
 * @param reader the name of the instance that tells or asks
 * @param group the group that it reads for
 * @param from the revision before the changes
 * @param to the revision that the reader knows
 * @param changes all changes behind {@code from} up to {@code to} in their order; empty
 * if there are none, or if they were too large to be told
 * @param returning whether the reader has the store back only lately, so that items may
 * be missing which come back
 * @param kind what the news are
 * @since 0.2
 */
public record StoreNews(String reader, String group, long from, long to, List<StoreChange> changes, boolean returning,
		Kind kind) {

	public StoreNews {
		Objects.requireNonNull(reader, "reader must not be null");
		Objects.requireNonNull(group, "group must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		changes = List.copyOf(changes);
	}

	/**
	 * Return news of the small changes alone, which leave a gap before them: receivers
	 * see that they have missed something, and hear of what they need at once.
	 * @param most the most characters of a change's value
	 * @return news whose changes can't be taken for all
	 */
	public StoreNews withoutLargeChanges(int most) {
		List<StoreChange> small = this.changes.stream()
			.filter((c) -> c.item().filter((i) -> i.value().length() > most).isEmpty())
			.toList();
		return new StoreNews(this.reader, this.group, this.to, this.to, small, this.returning, this.kind);
	}

	/**
	 * Return how many characters the values of the changes have together.
	 * @return the count
	 */
	public long characters() {
		return this.changes.stream().flatMap((c) -> c.item().stream()).mapToLong((i) -> i.value().length()).sum();
	}

	/**
	 * Return the same news without the changes.
	 * @return news by which receivers see that they have missed something
	 */
	public StoreNews withoutChanges() {
		return new StoreNews(this.reader, this.group, this.from, this.to, List.of(), this.returning, this.kind);
	}

	/**
	 * What news of the store are.
	 */
	public enum Kind {

		/** The sender read it of the store itself. */
		READ,

		/** The sender asks for all behind {@code from}. */
		QUESTION,

		/** The sender heard it of a reader of another group, and tells its own. */
		PASSED_ON

	}

}
