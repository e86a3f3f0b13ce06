package dev.laneworks.core.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.time.Timers;

/**
 * Simulates processes that follow one store in virtual time. The store's answers share a
 * link of fixed bandwidth, and it writes one large item and a steady series of small
 * ones.
 * <p>
 * Every process receives each small change immediately as an update from another process.
 * The large one is not sent, since it exceeds a datagram.
 */
final class LargeItemSimulation {

	private static final String LARGE_KEY = "plan";

	private static final long STEP_MILLIS = 10;

	private static final long SMALL_INTERVAL_MILLIS = 100;

	/** The size from which an answer's partial arrival is reported, in bytes. */
	private static final double PART_BYTES = 16_384;

	private static final long SMALL_BYTES = 400;

	private static final long PROBE_TIMEOUT_MILLIS = 500;

	private final double bytesPerMillisecond;

	private final long largeBytes;

	private final Timers timers = new Timers();

	private final List<Process> processes = new ArrayList<>();

	/** The answers that the link is sending. */
	private final Map<Process, Transfer> transfers = new LinkedHashMap<>();

	private final List<StoreChange> history = new ArrayList<>();

	/** The time from a request to the first byte of its answer, in milliseconds. */
	private final long latencyMillis;

	private long revision = 1;

	private long now;

	/** The bytes sent by the store, including those of cancelled answers. */
	long bytes;

	/** The number of answers cancelled during their transfer. */
	int cancelled;

	LargeItemSimulation(int count, long largeBytes, double megabitPerSecond, long latencyMillis, long seed) {
		this.latencyMillis = latencyMillis;
		this.largeBytes = largeBytes;
		this.bytesPerMillisecond = megabitPerSecond * 1_000 / 8;
		SplittableRandom random = new SplittableRandom(seed);
		for (int i = 0; i < count; i++) {
			this.processes.add(new Process("p" + i, random.split()));
		}
		this.processes.forEach((p) -> p.follower.start(0));
	}

	/**
	 * Run until all processes have the large item.
	 * @param maxMillis the longest time to run after the item was written, in
	 * milliseconds
	 * @return the time since the item was written in milliseconds, or empty if it took
	 * longer
	 */
	Optional<Long> runUntilAllHaveTheLargeItem(long maxMillis) {
		long written = 1_000;
		for (this.now = 0; this.now < written + maxMillis; this.now += STEP_MILLIS) {
			this.timers.run(this.now);
			if (this.now == written) {
				write(LARGE_KEY);
			}
			else if (this.now % SMALL_INTERVAL_MILLIS == 0) {
				deliverToAll(write("t" + this.now % 7));
			}
			advanceTransfers(STEP_MILLIS);
			if (this.now > written && this.processes.stream().allMatch((p) -> p.hasLargeItem)) {
				return Optional.of(this.now - written);
			}
		}
		return Optional.empty();
	}

	private long write(String key) {
		this.revision++;
		this.history.add(new StoreChange(key, Optional.of(new StoreItem(key, "v" + this.revision)), this.revision));
		this.processes.forEach((p) -> p.answerWatch());
		return this.revision;
	}

	private void deliverToAll(long written) {
		StoreChange change = this.history.get(this.history.size() - 1);
		StoreUpdate update = new StoreUpdate("other", "elsewhere", written - 1, written, List.of(change), false,
				StoreUpdate.Kind.READ);
		this.processes.forEach((p) -> p.follower.updateReceived(update, this.now));
	}

	private void advanceTransfers(long millis) {
		double part = this.bytesPerMillisecond * millis / Math.max(1, this.transfers.size());
		for (Map.Entry<Process, Transfer> queued : List.copyOf(this.transfers.entrySet())) {
			Transfer transfer = queued.getValue();
			this.bytes += (long) Math.min(part, transfer.remaining);
			transfer.remaining -= part;
			transfer.sent += part;
			if (transfer.remaining <= 0) {
				this.transfers.remove(queued.getKey());
				this.timers.schedule(this.now, transfer.onComplete);
			}
			else if (transfer.sent >= PART_BYTES) {
				queued.getKey().follower.answerProgressed(transfer.call, this.now);
			}
		}
	}

	private static final class Transfer {

		private final long call;

		private double remaining;

		private double sent;

		private final Timers.TimedAction onComplete;

		Transfer(long call, double bytes, Timers.TimedAction onComplete) {
			this.call = call;
			this.remaining = bytes;
			this.onComplete = onComplete;
		}

	}

	private final class Process implements StoreCalls {

		private final StoreFollower follower;

		private boolean hasLargeItem;

		private long call;

		/**
		 * The revision after which the open watch waits; the maximum value if none is
		 * open.
		 */
		private long watchedRevision = Long.MAX_VALUE;

		Process(String name, SplittableRandom random) {
			SharedWatch watch = new SharedWatch(name, "z", () -> 0, (n) -> {
			}, (n) -> {
			});
			this.follower = new StoreFollower(new FollowSettings(4_000, 700, 60), this, new Listener(this),
					LargeItemSimulation.this.timers, new Backoff(Duration.ofMillis(80), Duration.ofMillis(800), random),
					watch);
		}

		@Override
		public void readPage(long number, Optional<String> afterKey) {
			begin(number);
			long at = LargeItemSimulation.this.revision;
			List<StoreItem> items = LargeItemSimulation.this.history.stream()
				.filter((c) -> c.key().equals(LARGE_KEY))
				.flatMap((c) -> c.item().stream())
				.toList();
			send(SMALL_BYTES + items.size() * LargeItemSimulation.this.largeBytes,
					(t) -> this.follower.pageRead(number, items, false, at, t));
		}

		@Override
		public void watch(long number, long from, long waitMillis, long maxCharacters) {
			begin(number);
			this.watchedRevision = from;
			LargeItemSimulation.this.timers.schedule(LargeItemSimulation.this.now + waitMillis, (t) -> {
				if (this.call == number && this.watchedRevision != Long.MAX_VALUE) {
					answerWith(List.of());
				}
			});
			answerWatch();
		}

		void answerWatch() {
			if (this.watchedRevision < LargeItemSimulation.this.revision) {
				long from = this.watchedRevision;
				answerWith(LargeItemSimulation.this.history.stream().filter((c) -> c.revision() > from).toList());
			}
		}

		private void answerWith(List<StoreChange> changes) {
			this.watchedRevision = Long.MAX_VALUE;
			long number = this.call;
			long at = LargeItemSimulation.this.revision;
			boolean isLarge = changes.stream().anyMatch((c) -> c.key().equals(LARGE_KEY));
			send(changes.size() * SMALL_BYTES + (isLarge ? LargeItemSimulation.this.largeBytes : 0),
					(t) -> this.follower.watchAnswered(number, changes, at, t));
		}

		private void begin(long number) {
			cancelRequest();
			this.call = number;
			this.watchedRevision = Long.MAX_VALUE;
		}

		private void send(long size, Timers.TimedAction onComplete) {
			Transfer transfer = new Transfer(this.call, size, onComplete);
			LargeItemSimulation.this.timers
				.schedule(LargeItemSimulation.this.now + LargeItemSimulation.this.latencyMillis, (t) -> {
					if (this.call == transfer.call) {
						LargeItemSimulation.this.transfers.put(this, transfer);
					}
				});
		}

		private void cancelRequest() {
			Transfer open = LargeItemSimulation.this.transfers.remove(this);
			if (open != null) {
				LargeItemSimulation.this.cancelled++;
			}
		}

		@Override
		public void probe() {
			if (LargeItemSimulation.this.latencyMillis > PROBE_TIMEOUT_MILLIS) {
				return;
			}
			long latency = Math.max(STEP_MILLIS, LargeItemSimulation.this.latencyMillis);
			LargeItemSimulation.this.timers.schedule(LargeItemSimulation.this.now + latency,
					(t) -> this.follower.probeAnswered(LargeItemSimulation.this.revision, t));
		}

		@Override
		public void cancel() {
			cancelRequest();
			this.call = -1;
			this.watchedRevision = Long.MAX_VALUE;
		}

	}

	private record Listener(Process process) implements StoreListener {

		@Override
		public void itemsRead(List<StoreItem> items, long now) {
			items.forEach((i) -> this.process.hasLargeItem |= i.key().equals(LARGE_KEY));
		}

		@Override
		public void itemsChanged(List<StoreChange> changes, long now) {
			changes.forEach((c) -> this.process.hasLargeItem |= c.key().equals(LARGE_KEY));
		}

		@Override
		public void changesMissed(List<StoreChange> missed) {
			// Not recorded.
		}

		@Override
		public void fellBehind(long known, long reported) {
			// Expected until the large item arrives.
		}

		@Override
		public void caughtUp(long known, long lagMillis) {
			// Not recorded.
		}

		@Override
		public void callFailedAgain(String cause, int consecutive) {
			// The simulated store is always reachable.
		}

		@Override
		public void watchAnswerTooLarge(long known) {
			// Not recorded.
		}

		@Override
		public void watchRestarted(int inARow, long waitedMillis) {
			// Cancelled answers are counted by the transfer.
		}

		@Override
		public void storeRestored(long known, long at, long now) {
			// The simulated store is never restored from a copy.
		}

		@Override
		public void storeUnreachable(String cause) {
			// The simulated store is always reachable.
		}

		@Override
		public void recoveryReported(long now) {
			// The simulated store is always reachable.
		}

		@Override
		public void storeReachable(long awayMillis, boolean mayHaveBeenAway, long now) {
			// The simulated store is always reachable.
		}

	}

}
