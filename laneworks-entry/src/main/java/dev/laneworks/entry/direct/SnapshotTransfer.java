package dev.laneworks.entry.direct;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.follow.StoreFollower;
import dev.laneworks.core.follow.StorePosition;
import dev.laneworks.core.handover.SnapshotChunk;
import dev.laneworks.core.handover.SnapshotFetcher;
import dev.laneworks.core.handover.SnapshotRequest;
import dev.laneworks.core.handover.SnapshotSender;
import dev.laneworks.core.handover.StoreSnapshot;
import dev.laneworks.core.time.Timers;
import dev.laneworks.wire.ProtobufSnapshotFormat;

/**
 * Transfer of the plan and the target list between entries.
 * <p>
 * Serves snapshots to other entries. Fetches one while this entry has read nothing from
 * the store, or while it lacks changes that other entries have and receives none of them
 * from the store. Used on the I/O thread alone.
 */
final class SnapshotTransfer {

	/** The interval for checking whether a snapshot is needed, in milliseconds. */
	private static final long CHECK_MILLIS = 100;

	private final StoreFollower follower;

	private final SnapshotSender server;

	private final SnapshotFetcher fetcher;

	private final Timers timers;

	private final LongSupplier clock;

	private final AuditSink audit;

	private boolean isStarted;

	/**
	 * Create a transfer.
	 * @param follower the follower of the store
	 * @param peers supplies the addresses of entries that may serve a snapshot
	 * @param requests sends a request to an address
	 * @param timers schedules requests
	 * @param clock the time in milliseconds
	 * @param random selects the entries to ask
	 * @param audit the sink for audit events
	 */
	SnapshotTransfer(StoreFollower follower, Supplier<List<String>> peers, BiConsumer<String, SnapshotRequest> requests,
			Timers timers, LongSupplier clock, RandomGenerator random, AuditSink audit) {
		this.follower = follower;
		this.timers = timers;
		this.clock = clock;
		this.audit = audit;
		this.server = new SnapshotSender(this::currentSnapshot, new ProtobufSnapshotFormat());
		this.fetcher = new SnapshotFetcher(new ProtobufSnapshotFormat(), peers, requests, this::useSnapshot, timers,
				random);
	}

	// Fetch a snapshot whenever one is needed.
	void start(long now) {
		if (!this.isStarted) {
			this.isStarted = true;
			check(now);
		}
	}

	private void check(long now) {
		this.timers.schedule(now + CHECK_MILLIS, this::check);
		OptionalLong known = this.follower.appliedRevision();
		if (known.isEmpty() || this.follower.isStalledBehind(now)) {
			this.fetcher.start(known.orElse(0), now);
		}
		else if (!this.follower.isBehind()) {
			this.fetcher.stop();
		}
	}

	// Stop fetching once the store has been read.
	void stop() {
		this.fetcher.stop();
	}

	List<SnapshotChunk> answer(SnapshotRequest request, long now) {
		return this.server.answer(request, now);
	}

	void received(String from, SnapshotChunk chunk, long now) {
		this.fetcher.received(from, chunk, now);
	}

	private Optional<StoreSnapshot> currentSnapshot(long now) {
		OptionalLong revision = this.follower.knownRevision();
		if (revision.isEmpty()) {
			return Optional.empty();
		}
		return Optional
			.of(new StoreSnapshot(revision.getAsLong(), this.follower.silentMillis(now), this.follower.knownItems()));
	}

	private void useSnapshot(SnapshotFetcher.Result result) {
		StoreSnapshot snapshot = result.snapshot();
		long behind = this.follower.behindMillis(this.clock.getAsLong());
		if (this.follower.applySnapshot(snapshot.items(), snapshot.revision(), snapshot.ageMillis(),
				this.clock.getAsLong())) {
			this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "store", "",
					"adopted revision " + StorePosition.of(snapshot.revision()) + " from " + result.from() + ", "
							+ snapshot.ageMillis() + " ms old"
							+ ((behind > 0) ? "; had been behind for " + behind + " ms" : "")));
		}
	}

}
