package dev.laneworks.core.handover;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import dev.laneworks.core.time.Timers;

/**
 * Receiving side of a snapshot transfer, for a process that cannot read the store itself.
 * <p>
 * Chunks may be lost, duplicated or reordered. All chunks must come from one process and
 * one revision. A later revision replaces one of which a single chunk has arrived, or
 * that its sender no longer has; otherwise a state that changes all the while would never
 * be complete. If the sender falls silent, the transfer starts again at another process.
 * Requests are repeated at intervals that follow the pace of the link and grow while
 * nothing arrives, so that repeated answers do not fill the link. Not thread-safe.
 *
 * @since 0.2
 */
public final class SnapshotFetcher {

	/** The interval for checking which requests are due, in milliseconds. */
	static final long REQUEST_MILLIS = 40;

	/**
	 * The longest time to expect for the requested chunks of one answer, in milliseconds.
	 */
	private static final long MAX_PACE_MILLIS = 1_000;

	/** The longest interval of requests that nobody answers, in milliseconds. */
	private static final long MAX_ASK_MILLIS = 320;

	/** The silence after which a sender is abandoned, as a multiple of the pace. */
	private static final int ABANDONED_PACES = 4;

	/** The shortest such silence, in milliseconds. */
	private static final long MIN_SILENCE_MILLIS = 150;

	/** The number of processes that are asked for a snapshot at first. */
	private static final int FIRST_CANDIDATES = 2;

	/** The most processes that are asked at a time, after doublings without an answer. */
	private static final int MAX_CANDIDATES = 16;

	private final SnapshotFormat format;

	private final Supplier<List<String>> peers;

	private final BiConsumer<String, SnapshotRequest> requests;

	private final Consumer<Result> receiver;

	private final Timers timers;

	private final RandomGenerator random;

	private boolean isActive;

	/** The number of transfers that were started, so that a former one sends nothing. */
	private int transfers;

	/** The revision that this process has; 0 if it has none. */
	private long newerThan;

	private int candidates = FIRST_CANDIDATES;

	/** When the last request for any snapshot was sent, in milliseconds. */
	private long askedAt;

	/** The interval of those requests, in milliseconds. */
	private long askIntervalMillis = REQUEST_MILLIS;

	/** How long the chunks of one answer are expected to take, in milliseconds. */
	private long paceMillis = REQUEST_MILLIS;

	private Optional<PartialSnapshot> partial = Optional.empty();

	/**
	 * Create a receiver; {@link #start(long)} begins the transfer.
	 * @param format decodes the items
	 * @param peers supplies the addresses of the processes that may have a snapshot
	 * @param requests sends a request to an address
	 * @param receiver receives the complete snapshot
	 * @param timers schedules requests
	 * @param random selects the processes to ask
	 */
	public SnapshotFetcher(SnapshotFormat format, Supplier<List<String>> peers,
			BiConsumer<String, SnapshotRequest> requests, Consumer<Result> receiver, Timers timers,
			RandomGenerator random) {
		this.format = format;
		this.peers = peers;
		this.requests = requests;
		this.receiver = receiver;
		this.timers = timers;
		this.random = random;
	}

	/**
	 * Start to send requests, until a snapshot is complete or {@link #stop()} is called.
	 * Has no effect on a transfer in progress.
	 * @param knownRevision the revision that this process has, so that only a later
	 * snapshot is of use; 0 if it has none
	 * @param now the current time in milliseconds
	 */
	public void start(long knownRevision, long now) {
		this.newerThan = knownRevision;
		if (!this.isActive) {
			this.isActive = true;
			this.transfers++;
			this.candidates = FIRST_CANDIDATES;
			this.askedAt = Long.MIN_VALUE / 2;
			this.askIntervalMillis = REQUEST_MILLIS;
			sendRequests(this.transfers, now);
		}
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
		if (chunk.revision() <= this.newerThan) {
			return;
		}
		if (this.partial.filter((s) -> !s.isReplacedBy(from, chunk)).isEmpty()) {
			this.partial = Optional.of(new PartialSnapshot(from, chunk, now));
		}
		PartialSnapshot snapshot = this.partial.get();
		if (!snapshot.add(from, chunk, now)) {
			return;
		}
		if (snapshot.isComplete()) {
			complete(snapshot);
		}
		else if (snapshot.isWindowComplete()) {
			this.paceMillis = Math.max(REQUEST_MILLIS, Math.min(MAX_PACE_MILLIS, snapshot.windowMillis(now)));
			requestNext(snapshot, now);
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

	private void sendRequests(int transfer, long now) {
		if (!this.isActive || transfer != this.transfers) {
			return;
		}
		if (this.partial.filter((s) -> s.isAbandoned(this.paceMillis, now)).isPresent()) {
			this.partial = Optional.empty();
			this.paceMillis = Math.min(MAX_PACE_MILLIS, 2 * this.paceMillis);
		}
		if (this.partial.isEmpty()) {
			askCandidates(now);
		}
		else if (this.partial.get().isRequestDue(this.paceMillis, now)) {
			requestNext(this.partial.get(), now);
		}
		this.timers.schedule(now + REQUEST_MILLIS, (t) -> sendRequests(transfer, t));
	}

	private void askCandidates(long now) {
		if (now - this.askedAt < Math.max(this.paceMillis, this.askIntervalMillis)) {
			return;
		}
		this.askedAt = now;
		if (this.candidates == MAX_CANDIDATES) {
			this.askIntervalMillis = Math.min(MAX_ASK_MILLIS, 2 * this.askIntervalMillis);
		}
		List<String> all = new ArrayList<>(this.peers.get());
		Collections.shuffle(all, new Random(this.random.nextLong()));
		all.subList(0, Math.min(this.candidates, all.size()))
			.forEach((p) -> this.requests.accept(p, SnapshotRequest.newest(this.newerThan)));
		this.candidates = Math.min(MAX_CANDIDATES, 2 * this.candidates);
	}

	private void requestNext(PartialSnapshot snapshot, long now) {
		snapshot.recordRequest(now);
		this.requests.accept(snapshot.from(), new SnapshotRequest(snapshot.revision(), snapshot.firstMissing()));
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

		private int received;

		private long receivedAt;

		private long requestedAt;

		/** The end of the chunks requested so far. */
		private int requestedEnd = 1;

		PartialSnapshot(String from, SnapshotChunk first, long now) {
			this.receivedAt = now;
			this.requestedAt = now;
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

		boolean isReplacedBy(String sender, SnapshotChunk chunk) {
			boolean isFree = this.received <= 1 || sender.equals(this.from);
			return isFree && chunk.revision() > this.revision;
		}

		boolean isAbandoned(long paceMillis, long now) {
			return now - this.receivedAt > Math.max(MIN_SILENCE_MILLIS, ABANDONED_PACES * paceMillis);
		}

		// Whether the requested chunks should have arrived by now.
		boolean isRequestDue(long paceMillis, long now) {
			return now - Math.max(this.receivedAt, this.requestedAt) >= 2 * paceMillis;
		}

		// How long the requested chunks took to arrive.
		long windowMillis(long now) {
			return now - this.requestedAt;
		}

		void recordRequest(long now) {
			this.requestedAt = now;
			this.requestedEnd = firstMissing() + SnapshotSender.WINDOW;
		}

		boolean isWindowComplete() {
			return firstMissing() >= this.requestedEnd;
		}

		// Returns whether the chunk belongs to this snapshot and was missing.
		boolean add(String sender, SnapshotChunk chunk, long now) {
			boolean isNew = sender.equals(this.from) && chunk.revision() == this.revision
					&& chunk.count() == this.chunks.length && this.chunks[chunk.number()] == null;
			if (isNew) {
				this.chunks[chunk.number()] = chunk.data();
				this.received++;
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
