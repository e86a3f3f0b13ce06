package dev.laneworks.core.follow;

/**
 * A position in the history of a store: an era and a revision.
 * <p>
 * A store that is restored from an older copy begins a new era and assigns revisions
 * again. Positions are ordered by era first. They are encoded as single numbers wherever
 * revisions are used, so that comparing the numbers orders them across eras. A store that
 * reports no era is in era 0, and its positions equal its revisions.
 *
 * @param era how often the store was restored from a copy, as the store reports it; from
 * 0 to {@value #MAX_ERA}
 * @param revision the revision, from 0 to 2^44 - 1
 * @since 0.4
 */
public record StorePosition(long era, long revision) {

	private static final int REVISION_BITS = 44;

	/** The highest era that can be encoded. */
	public static final int MAX_ERA = (1 << 18) - 1;

	/** The highest revision that can be encoded. */
	public static final long MAX_REVISION = (1L << REVISION_BITS) - 1;

	public StorePosition {
		if (era < 0 || era > MAX_ERA || revision < 0 || revision > MAX_REVISION) {
			throw new IllegalArgumentException("there is no revision " + revision + " of era " + era);
		}
	}

	/**
	 * Decode a position.
	 * @param number the encoded position, not negative
	 * @return the position
	 */
	public static StorePosition of(long number) {
		return new StorePosition(number >>> REVISION_BITS, number & MAX_REVISION);
	}

	/**
	 * Encode this position as a number.
	 * @return the number, which is higher for a later position
	 */
	public long number() {
		return this.era << REVISION_BITS | this.revision;
	}

	/**
	 * Determine whether two encoded positions are in the same era.
	 * @param one the first position; negative for none
	 * @param other the second position; negative for none
	 * @return {@code true} if the store was not restored between them
	 */
	public static boolean isSameEra(long one, long other) {
		return one >> REVISION_BITS == other >> REVISION_BITS;
	}

	@Override
	public String toString() {
		return (this.era == 0) ? Long.toString(this.revision) : this.revision + " of era " + this.era;
	}

}
