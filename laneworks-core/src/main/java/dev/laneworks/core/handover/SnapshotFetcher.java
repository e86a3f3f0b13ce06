package dev.laneworks.core.handover;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

import dev.laneworks.core.time.Timers;

/**
 * Receiving side of a snapshot transfer, for a process that cannot read the store itself.
 * <p>
 * Chunks may be lost, duplicated or reordered. All chunks must come from one process and
 * one revision; a later revision replaces an incomplete one, and an earlier one is
 * ignored. If the sender falls silent, the transfer starts again at another process. Not
 * thread-safe.
 *
 * @since 0.2
 */
public final class SnapshotFetcher {

	/** The interval of requests for missing chunks, in milliseconds. */
	static final long REQUEST_MILLIS = 40;

	/** The silence after which a sender is abandoned, in milliseconds. */
	private static final long MAX_SILENCE_MILLIS = 150;

	private final SnapshotFormat format;

	private final Supplier<List<String>> peers;

	private final BiConsumer<String, SnapshotRequest> requests;

	private final Consumer<Result> receiver;

	private final Timers timers;

	private boolean isActive;

	private Optional<PartialSnapshot> partial = Optional.empty();

	/**
	 * Create a receiver; {@link #start(long)} begins the transfer.
	 * @param format decodes the items
	 * @param peers supplies the addresses of the processes that may have a snapshot
	 * @param requests sends a request to an address
	 * @param receiver receives the complete snapshot
	 * @param timers schedules requests
	 */
	public SnapshotFetcher(SnapshotFormat format, Supplier<List<String>> peers,
			BiConsumer<String, SnapshotRequest> requests, Consumer<Result> receiver, Timers timers) {
		this.format = format;
		this.peers = peers;
		this.requests = requests;
		this.receiver = receiver;
		this.timers = timers;
	}

	/**
	 * Start to send requests, until a snapshot is complete or {@link #stop()} is called.
	 * @param now the current time in milliseconds
	 */
	public void start(long now) {
		this.isActive = true;
		sendRequests(now);
	}

	/** Stop the transfer, because a snapshot was obtained elsewhere. */
	public void stop() {
		this.isActive = false;
		this.partial = Optional.empty();
	}

	/**
	 * Handle a chunk.
	 * @param from the address of the sender
	 * @param chunk one part of an encoded snapshot
	 * @param now the current time in milliseconds
	 */
	public void received(String from, SnapshotChunk chunk, long now) {
		if (!this.isActive || !this.peers.get().contains(from)) {
			return;
		}
		if (this.partial.filter((s) -> s.revision() >= chunk.revision()).isEmpty()) {
			this.partial = Optional.of(new PartialSnapshot(from, chunk));
		}
		PartialSnapshot snapshot = this.partial.get();
		if (!snapshot.add(from, chunk, now)) {
			return;
		}
		if (snapshot.isComplete()) {
			complete(snapshot);
		}
		else if (snapshot.firstMissing() % SnapshotSender.WINDOW == 0) {
			this.requests.accept(from, new SnapshotRequest(snapshot.revision(), snapshot.firstMissing()));
		}
	}

	private void complete(PartialSnapshot snapshot) {
		this.partial = Optional.empty();
		this.format.decode(snapshot.bytes()).ifPresent((items) -> {
			this.isActive = false;
			this.receiver.accept(
					new Result(snapshot.from(), new StoreSnapshot(snapshot.revision(), snapshot.ageMillis(), items)));
		});
	}

	private void sendRequests(long now) {
		if (!this.isActive) {
			return;
		}
		this.partial = this.partial.filter((s) -> now - s.receivedAt() <= MAX_SILENCE_MILLIS);
		if (this.partial.isPresent()) {
			PartialSnapshot snapshot = this.partial.get();
			this.requests.accept(snapshot.from(), new SnapshotRequest(snapshot.revision(), snapshot.firstMissing()));
		}
		else {
			this.peers.get()
				.forEach((p) -> this.requests.accept(p, new SnapshotRequest(SnapshotRequest.ANY_REVISION, 0)));
		}
		this.timers.schedule(now + REQUEST_MILLIS, this::sendRequests);
	}

	/**
	 * A received snapshot.
	 *
	 * @param from the address of the sender
	 * @param snapshot the received items
	 */
	public record Result(String from, StoreSnapshot snapshot) {

	}

	/**
	 * An incomplete snapshot of one revision from one process.
	 */
	private static final class PartialSnapshot {

		private final String from;

		private final long revision;

		private final long ageMillis;

		private final byte[][] chunks;

		private long receivedAt;

		PartialSnapshot(String from, SnapshotChunk first) {
			this.from = from;
			this.revision = first.revision();
			this.ageMillis = first.ageMillis();
			this.chunks = new byte[first.count()][];
		}

		String from() {
			return this.from;
		}

		long revision() {
			return this.revision;
		}

		long ageMillis() {
			return this.ageMillis;
		}

		long receivedAt() {
			return this.receivedAt;
		}

		// Returns whether the chunk belongs to this snapshot and was missing.
		boolean add(String sender, SnapshotChunk chunk, long now) {
			boolean isNew = sender.equals(this.from) && chunk.revision() == this.revision
					&& chunk.count() == this.chunks.length && this.chunks[chunk.number()] == null;
			if (isNew) {
				this.chunks[chunk.number()] = chunk.data();
				this.receivedAt = now;
			}
			return isNew;
		}

		// The index of the first missing chunk.
		int firstMissing() {
			int first = 0;
			while (first < this.chunks.length && this.chunks[first] != null) {
				first++;
			}
			return first;
		}

		boolean isComplete() {
			return firstMissing() == this.chunks.length;
		}

		byte[] bytes() {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			for (byte[] chunk : this.chunks) {
				all.writeBytes(chunk);
			}
			return all.toByteArray();
		}

	}

}
