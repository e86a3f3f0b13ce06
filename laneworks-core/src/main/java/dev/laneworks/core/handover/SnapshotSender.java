package dev.laneworks.core.handover;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;

/**
 * Server side of a snapshot transfer, which sends the state of this process in chunks.
 * <p>
 * The first chunk of a snapshot is empty. It answers a request for any revision, so that
 * a receiver can ask several processes at little cost. An encoded snapshot is kept while
 * its chunks are requested, so that a receiver can fetch all of them although the state
 * changes meanwhile. Not thread-safe.
 *
 * @since 0.2
 */
public final class SnapshotSender {

	/** The size of a chunk, which fits into a datagram with its header. */
	static final int CHUNK_BYTES = 16 * 1024;

	/** The most chunks in response to one request; avoids flooding a link. */
	static final int WINDOW = 8;

	/**
	 * The time for which an encoded snapshot is kept without requests, in milliseconds.
	 */
	private static final long IDLE_MILLIS = 2_000;

	/** The shortest time between two encodings, in milliseconds. */
	private static final long ENCODING_INTERVAL_MILLIS = 100;

	/** Bounds the memory of the encoded snapshots. */
	private static final int MAX_ENCODED = 3;

	private final LongFunction<Optional<StoreSnapshot>> snapshotSource;

	private final SnapshotFormat format;

	/** The encoded snapshots, the newest first. */
	private final Deque<Encoded> encoded = new ArrayDeque<>();

	private long encodedAt = Long.MIN_VALUE / 2;

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
	 * @return the next missing chunks, or the empty first chunk of the current revision
	 * if another one than those kept is requested; empty if this process has no snapshot
	 * or none that is newer than the requester's
	 */
	public List<SnapshotChunk> answer(SnapshotRequest request, long now) {
		this.encoded.removeIf((e) -> !e.isFetched(now) && now - e.encodedAt > IDLE_MILLIS);
		Optional<Encoded> kept = this.encoded.stream().filter((e) -> e.revision == request.revision()).findFirst();
		if (kept.isPresent()) {
			return kept.get().chunks(request.firstChunk(), WINDOW, now);
		}
		return current(now).filter((e) -> e.revision > request.newerThan())
			.map((e) -> e.chunks.subList(0, 1))
			.orElse(List.of());
	}

	private Optional<Encoded> current(long now) {
		boolean isDue = this.encoded.isEmpty() || now - this.encodedAt >= ENCODING_INTERVAL_MILLIS;
		if (isDue && (this.encoded.size() < MAX_ENCODED || findUnused(now).isPresent())) {
			this.snapshotSource.apply(now).filter(this::isNew).ifPresent((s) -> encode(s, now));
		}
		return Optional.ofNullable(this.encoded.peekFirst());
	}

	// Returns the oldest snapshot that no receiver is fetching.
	private Optional<Encoded> findUnused(long now) {
		Iterator<Encoded> oldestFirst = this.encoded.descendingIterator();
		while (oldestFirst.hasNext()) {
			Encoded snapshot = oldestFirst.next();
			if (!snapshot.isFetched(now)) {
				return Optional.of(snapshot);
			}
		}
		return Optional.empty();
	}

	private boolean isNew(StoreSnapshot snapshot) {
		return this.encoded.isEmpty() || snapshot.revision() != this.encoded.peekFirst().revision;
	}

	private void encode(StoreSnapshot snapshot, long now) {
		this.encodedAt = now;
		List<SnapshotChunk> chunks = split(snapshot);
		if (chunks.isEmpty()) {
			return;
		}
		if (this.encoded.size() == MAX_ENCODED) {
			findUnused(now).ifPresent(this.encoded::remove);
		}
		this.encoded.addFirst(new Encoded(snapshot.revision(), chunks, now));
	}

	private List<SnapshotChunk> split(StoreSnapshot snapshot) {
		byte[] bytes = this.format.encode(snapshot.items());
		int count = 1 + (bytes.length + CHUNK_BYTES - 1) / CHUNK_BYTES;
		if (count > SnapshotChunk.MAX_CHUNKS) {
			return List.of();
		}
		List<SnapshotChunk> split = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			byte[] data = Arrays.copyOfRange(bytes, Math.max(0, i - 1) * CHUNK_BYTES,
					Math.min(bytes.length, i * CHUNK_BYTES));
			split.add(new SnapshotChunk(snapshot.revision(), snapshot.ageMillis(), i, count, data));
		}
		return split;
	}

	/** An encoded snapshot. */
	private static final class Encoded {

		private final long revision;

		private final List<SnapshotChunk> chunks;

		private final long encodedAt;

		/** When chunks were last requested, in milliseconds. */
		private long fetchedAt = Long.MIN_VALUE / 2;

		Encoded(long revision, List<SnapshotChunk> chunks, long now) {
			this.revision = revision;
			this.chunks = chunks;
			this.encodedAt = now;
		}

		boolean isFetched(long now) {
			return now - this.fetchedAt <= IDLE_MILLIS;
		}

		List<SnapshotChunk> chunks(int first, int count, long now) {
			this.fetchedAt = now;
			return this.chunks.stream().skip(first).limit(count).toList();
		}

	}

}
