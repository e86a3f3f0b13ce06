package dev.laneworks.core.handover;

/**
 * Request for chunks of a snapshot.
 *
 * @param revision the revision of the missing chunks, or {@link #ANY_REVISION}
 * @param firstChunk the index of the first missing chunk
 * @since 0.2
 */
public record SnapshotRequest(long revision, int firstChunk) {

	/** Requests the current revision of the server. */
	public static final long ANY_REVISION = -1;

	public SnapshotRequest {
		if (revision < ANY_REVISION || firstChunk < 0) {
			throw new IllegalArgumentException("invalid request for chunk " + firstChunk + " of revision " + revision);
		}
	}

}
