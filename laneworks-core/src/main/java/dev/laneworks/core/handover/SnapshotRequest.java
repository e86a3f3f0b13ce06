package dev.laneworks.core.handover;

/**
 * Request for chunks of a snapshot.
 *
 * @param revision the revision of the missing chunks, or {@link #ANY_REVISION}
 * @param firstChunk the index of the first missing chunk
 * @param newerThan the revision that the requester has, so that only a later snapshot is
 * of use; 0 if it has none
 * @since 0.2
 */
public record SnapshotRequest(long revision, int firstChunk, long newerThan) {

	/** Requests the current revision of the server. */
	public static final long ANY_REVISION = -1;

	public SnapshotRequest {
		if (revision < ANY_REVISION || firstChunk < 0 || newerThan < 0) {
			throw new IllegalArgumentException("invalid request for chunk " + firstChunk + " of revision " + revision
					+ " newer than " + newerThan);
		}
	}

	/**
	 * Create a request for further chunks of a snapshot.
	 * @param revision the revision of the snapshot
	 * @param firstChunk the index of the first missing chunk
	 */
	public SnapshotRequest(long revision, int firstChunk) {
		this(revision, firstChunk, 0);
	}

	/**
	 * Create a request for the first chunk of the server's current snapshot.
	 * @param newerThan the revision that the requester has; 0 if it has none
	 * @return the request
	 * @since 0.7
	 */
	public static SnapshotRequest newest(long newerThan) {
		return new SnapshotRequest(ANY_REVISION, 0, newerThan);
	}

}
