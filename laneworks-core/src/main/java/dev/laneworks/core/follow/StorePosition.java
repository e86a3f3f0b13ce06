package dev.laneworks.core.follow;

/**
 * A point in the history of a store: the revision, and the era that it belongs to.
 * <p>
 * A store that comes back from an older copy begins a new era and gives revisions out
 * again. Positions are ordered by era first. They travel as single numbers wherever
 * revisions do, so that whatever orders by revision is right over eras too; a store that
 * tells no era is in era 0, and its positions are its revisions.
 *
 * @param era how often the store came back from a copy, as it counts that itself; from 0
 * to {@value #MOST_ERA}
 * @param revision the revision, from 0 to 2^44 - 1
 * @since 0.4
 */
public record StorePosition(long era, long revision) {

	private static final int REVISION_BITS = 44;

	/** The highest era that fits beside a revision. */
	public static final int MOST_ERA = (1 << 18) - 1;

	/** The highest revision that fits beside an era. */
	public static final long MOST_REVISION = (1L << REVISION_BITS) - 1;

	public StorePosition {
		if (era < 0 || era > MOST_ERA || revision < 0 || revision > MOST_REVISION) {
			throw new IllegalArgumentException("there is no revision " + revision + " of era " + era);
		}
	}

	/**
	 * Return the position that a number stands for.
	 * @param number the number, not negative
	 * @return the position
	 */
	public static StorePosition of(long number) {
		return new StorePosition(number >>> REVISION_BITS, number & MOST_REVISION);
	}

	/**
	 * Return the number that stands for this position.
	 * @return the number, which is higher for a later position
	 */
	public long number() {
		return this.era << REVISION_BITS | this.revision;
	}

	/**
	 * Return whether two numbers stand for positions of one era.
	 * @param one the one, negative for none
	 * @param other the other, negative for none
	 * @return whether no return from a copy lies between them
	 */
	public static boolean areOfOneEra(long one, long other) {
		return one >> REVISION_BITS == other >> REVISION_BITS;
	}

	@Override
	public String toString() {
		return (this.era == 0) ? Long.toString(this.revision) : this.revision + " of era " + this.era;
	}

}
