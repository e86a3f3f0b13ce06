package dev.laneworks.core.handover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;

/**
 * Server side of a snapshot transfer, which sends the state of this process in chunks.
 * <p>
 * An encoded snapshot is reused for a short time, so that a receiver can fetch all chunks
 * of one revision while the state changes. Not thread-safe.
 *
 * @since 0.2
 */
public final class SnapshotSender {

	/** The size of a chunk, which fits into a datagram with its header. */
	static final int CHUNK_BYTES = 16 * 1024;

	/** The most chunks in response to one request; avoids flooding a link. */
	static final int WINDOW = 8;

	/** The time for which an encoded snapshot is reused, in milliseconds. */
	private static final long REUSE_MILLIS = 2_000;

	private final LongFunction<Optional<StoreSnapshot>> snapshotSource;

	private final SnapshotFormat format;

	private List<SnapshotChunk> chunks = List.of();

	private long encodedAt;

	/**
	 * Create a server.
	 * @param snapshot supplies the snapshot for a time in milliseconds; empty if this
	 * process has none
	 * @param format encodes the items
	 */
	public SnapshotSender(LongFunction<Optional<StoreSnapshot>> snapshot, SnapshotFormat format) {
		this.snapshotSource = snapshot;
		this.format = format;
	}

	/**
	 * Answer a request for chunks.
	 * @param request the revision and the first missing chunk
	 * @param now the current time in milliseconds
	 * @return the next missing chunks, from the first one if another revision than the
	 * current one is requested; empty if this process has no snapshot
	 */
	public List<SnapshotChunk> answer(SnapshotRequest request, long now) {
		if (this.chunks.isEmpty() || now - this.encodedAt > REUSE_MILLIS) {
			this.chunks = this.snapshotSource.apply(now).map(this::split).orElse(List.of());
			this.encodedAt = now;
		}
		boolean isSame = !this.chunks.isEmpty() && this.chunks.get(0).revision() == request.revision();
		int first = isSame ? request.firstChunk() : 0;
		return this.chunks.stream().skip(first).limit(WINDOW).toList();
	}

	private List<SnapshotChunk> split(StoreSnapshot snapshot) {
		byte[] bytes = this.format.encode(snapshot.items());
		int count = Math.max(1, (bytes.length + CHUNK_BYTES - 1) / CHUNK_BYTES);
		if (count > SnapshotChunk.MAX_CHUNKS) {
			return List.of();
		}
		List<SnapshotChunk> split = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			byte[] data = Arrays.copyOfRange(bytes, i * CHUNK_BYTES, Math.min(bytes.length, (i + 1) * CHUNK_BYTES));
			split.add(new SnapshotChunk(snapshot.revision(), snapshot.ageMillis(), i, count, data));
		}
		return split;
	}

}
