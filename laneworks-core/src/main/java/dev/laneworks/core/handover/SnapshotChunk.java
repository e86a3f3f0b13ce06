package dev.laneworks.core.handover;

import java.util.Objects;

/**
 * Chunk of an encoded snapshot that fits into a datagram.
 *
 * @param revision the revision of the snapshot
 * @param ageMillis the age of the snapshot when it was encoded, in milliseconds
 * @param number the index of the chunk, from 0
 * @param count the total number of chunks
 * @param data the bytes of the chunk
 * @since 0.2
 */
public record SnapshotChunk(long revision, long ageMillis, int number, int count, byte[] data) {

	/** The most chunks of a snapshot; bounds the memory of a receiver. */
	public static final int MAX_CHUNKS = 512;

	public SnapshotChunk {
		Objects.requireNonNull(data, "data must not be null");
		if (revision < 0 || ageMillis < 0 || count < 1 || count > MAX_CHUNKS || number < 0 || number >= count) {
			throw new IllegalArgumentException("invalid chunk " + number + " of " + count);
		}
	}

}
