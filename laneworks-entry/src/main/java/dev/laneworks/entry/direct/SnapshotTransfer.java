package dev.laneworks.entry.direct;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

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
 * Transfer of the plan and the target list between entries for starts during a store
 * outage.
 * <p>
 * Serves snapshots to other entries, and fetches one at the start so that a new entry can
 * serve before the store is reachable. Used on the I/O thread alone.
 */
final class SnapshotTransfer {

	private final StoreFollower follower;

	private final SnapshotSender server;

	private final SnapshotFetcher fetcher;

	private final LongSupplier clock;

	private final AuditSink audit;

	/**
	 * Create a transfer.
	 * @param follower the follower of the store
	 * @param peers supplies the addresses of entries that may serve a snapshot
	 * @param requests sends a request to an address
	 * @param timers schedules requests
	 * @param clock the time in milliseconds
	 * @param audit the sink for audit events
	 */
	SnapshotTransfer(StoreFollower follower, Supplier<List<String>> peers, BiConsumer<String, SnapshotRequest> requests,
			Timers timers, LongSupplier clock, AuditSink audit) {
		this.follower = follower;
		this.clock = clock;
		this.audit = audit;
		this.server = new SnapshotSender(this::currentSnapshot, new ProtobufSnapshotFormat());
		this.fetcher = new SnapshotFetcher(new ProtobufSnapshotFormat(), peers, requests, this::useSnapshot, timers);
	}

	// Fetch a snapshot unless the store has been read already.
	void start(long now) {
		if (this.follower.knownRevision().isEmpty()) {
			this.fetcher.start(now);
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
			.of(new StoreSnapshot(revision.getAsLong(), this.follower.ageMillis(now), this.follower.knownItems()));
	}

	private void useSnapshot(SnapshotFetcher.Result result) {
		StoreSnapshot snapshot = result.snapshot();
		this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "store", "",
				"unreachable; adopted revision " + StorePosition.of(snapshot.revision()) + " from " + result.from()
						+ ", " + snapshot.ageMillis() + " ms old"));
		this.follower.applySnapshot(snapshot.items(), snapshot.revision(), this.clock.getAsLong());
	}

}
