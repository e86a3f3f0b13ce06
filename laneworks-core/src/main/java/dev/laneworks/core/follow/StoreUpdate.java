package dev.laneworks.core.follow;

import java.util.List;
import java.util.Objects;

/**
 * A store update that one process sends to others, or a request for missed changes.
 *
 * @param sender the name of the sending instance
 * @param group the group of the sender
 * @param from the revision before the changes
 * @param to the revision known to the sender
 * @param changes all changes after {@code from} up to {@code to} in their order; empty if
 * there are none or they are too large to send
 * @param recovering whether the store was unreachable for the sender until recently, so
 * that items may be missing that are written again soon
 * @param kind the kind of the update
 * @since 0.2
 */
public record StoreUpdate(String sender, String group, long from, long to, List<StoreChange> changes,
		boolean recovering, Kind kind) {

	/** Separates serving plans from the much smaller items of the target list. */
	private static final int LARGE_CHANGE_CHARACTERS = 2_000;

	public StoreUpdate {
		Objects.requireNonNull(sender, "sender must not be null");
		Objects.requireNonNull(group, "group must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		changes = List.copyOf(changes);
	}

	/**
	 * Return this update if its values fit into a message, and otherwise a copy without
	 * the large changes or, if that is not enough, without any.
	 * @param maxCharacters the maximum length of all values, in characters
	 * @return an update from which receivers detect the changes left out
	 * @since 0.7
	 */
	public StoreUpdate reducedTo(long maxCharacters) {
		if (characters() <= maxCharacters) {
			return this;
		}
		StoreUpdate small = withoutLargeChanges(LARGE_CHANGE_CHARACTERS);
		return (small.characters() <= maxCharacters) ? small : withoutChanges();
	}

	/**
	 * Return a copy without large changes. Its {@code from} leaves a gap, so that
	 * receivers detect the missing changes but apply the small ones at once.
	 * @param maxLength the maximum length of a change's value, in characters
	 * @return an update that does not count as complete
	 */
	public StoreUpdate withoutLargeChanges(int maxLength) {
		List<StoreChange> small = this.changes.stream()
			.filter((c) -> c.item().filter((i) -> i.value().length() > maxLength).isEmpty())
			.toList();
		return new StoreUpdate(this.sender, this.group, this.to, this.to, small, this.recovering, this.kind);
	}

	/**
	 * Return the total length of the values of all changes.
	 * @return the length in characters
	 */
	public long characters() {
		return this.changes.stream().flatMap((c) -> c.item().stream()).mapToLong((i) -> i.value().length()).sum();
	}

	/**
	 * Return a copy without changes, from which receivers detect that they have missed
	 * some.
	 * @return the update with an empty list of changes
	 */
	public StoreUpdate withoutChanges() {
		return new StoreUpdate(this.sender, this.group, this.from, this.to, List.of(), this.recovering, this.kind);
	}

	/**
	 * The kinds of a store update.
	 */
	public enum Kind {

		/** The sender read it from the store. */
		READ,

		/** The sender requests all changes after {@code from}. */
		REQUEST,

		/** The sender forwards it from a watcher of another group to its own group. */
		FORWARDED

	}

}
