package dev.laneworks.core.handover;

/**
 * Request for chunks of a snapshot.
 *
 * @param revision the revision of the missing chunks, or {@link #ANY_REVISION}
 * @param firstPiece the index of the first missing chunk
 * @since 0.2
 */
public record StateQuestion(long revision, int firstPiece) {

	/** Requests the current revision of the server. */
	public static final long ANY_REVISION = -1;

	public StateQuestion {
		if (revision < ANY_REVISION || firstPiece < 0) {
			throw new IllegalArgumentException("invalid request for chunk " + firstPiece + " of revision " + revision);
		}
	}

}
