package dev.laneworks.core.follow;

import java.util.List;

/**
 * Lets processes share the reading of a store: one reads and tells, the others listen.
 *
 * @since 0.2
 */
public interface ReadingShare {

	/** A process that reads for itself alone. */
	ReadingShare ALONE = new ReadingShare() {

		@Override
		public boolean isShared() {
			return false;
		}

		@Override
		public boolean isServed(long revision, long now) {
			return false;
		}

		@Override
		public void ask(long revision, long now) {
			// Nobody answers.
		}

		@Override
		public void tell(long from, long to, List<StoreChange> changes) {
			// Nobody listens.
		}

	};

	/**
	 * Return whether others rely on what this process reads, so that it has to find out
	 * soon when it hears nothing any more.
	 * @return whether there are others
	 */
	boolean isShared();

	/**
	 * Return whether another process reads for this one now, so that it need not read
	 * itself.
	 * @param revision the revision that this process knows
	 * @param now the time in milliseconds
	 * @return {@code false} if nobody does, or if the reader is behind
	 */
	boolean isServed(long revision, long now);

	/**
	 * Ask others for what happened behind a revision, because the store is out of reach.
	 * @param revision the revision that this process knows
	 * @param now the time in milliseconds
	 */
	void ask(long revision, long now);

	/**
	 * Tell others what was read.
	 * @param from the revision before the changes
	 * @param to the revision now known
	 * @param changes the changes between them, none for a sign of life
	 */
	void tell(long from, long to, List<StoreChange> changes);

}
