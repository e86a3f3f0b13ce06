package dev.laneworks.core.handover;

/**
 * A question for pieces of a state.
 *
 * @param revision the revision of which pieces are missing, or {@link #ANY_REVISION}
 * @param firstPiece the number of the first piece that is missing
 * @since 0.2
 */
public record StateQuestion(long revision, int firstPiece) {

	/** Any revision will do. */
	public static final long ANY_REVISION = -1;

	public StateQuestion {
		if (revision < ANY_REVISION || firstPiece < 0) {
			throw new IllegalArgumentException("there is no piece " + firstPiece + " of revision " + revision);
		}
	}

}
