package dev.laneworks.bench.fuzz;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * Connection between an entry and a sidecar that delivers messages in order and at most
 * once until it breaks.
 */
final class FakeLink {

	private final VirtualTime time;

	private final SplittableRandom random;

	private final FakeEntry entry;

	private final FakeSidecar sidecar;

	private final long number;

	private final Direction toSidecar = new Direction();

	private final Direction toEntry = new Direction();

	private boolean broken;

	FakeLink(VirtualTime time, SplittableRandom random, FakeEntry entry, FakeSidecar sidecar, long number) {
		this.time = time;
		this.random = random;
		this.entry = entry;
		this.sidecar = sidecar;
		this.number = number;
	}

	long number() {
		return this.number;
	}

	FakeEntry entry() {
		return this.entry;
	}

	FakeSidecar sidecar() {
		return this.sidecar;
	}

	boolean isBroken() {
		return this.broken;
	}

	void sendToSidecar(Runnable delivery) {
		this.toSidecar.send(() -> this.sidecar.run(delivery));
	}

	void sendToEntry(Runnable delivery) {
		this.toEntry.send(() -> this.entry.run(() -> {
			if (this.entry.isOpen(this)) {
				delivery.run();
			}
		}));
	}

	void stall(boolean stallToSidecar, boolean stallToEntry) {
		this.toSidecar.stalled = stallToSidecar;
		this.toEntry.stalled = stallToEntry;
	}

	void restore() {
		this.toSidecar.resume();
		this.toEntry.resume();
	}

	boolean isStalled() {
		return this.toSidecar.stalled || this.toEntry.stalled;
	}

	// The entry is notified soon, the sidecar up to seconds later; some messages in
	// flight may still reach the sidecar.
	void breakConnection() {
		if (this.broken) {
			return;
		}
		this.broken = true;
		this.toEntry.discard();
		if (this.random.nextBoolean()) {
			this.toSidecar.discard();
		}
		else {
			this.toSidecar.resume();
			this.toSidecar.delayMillis = this.random.nextInt(2_000);
		}
		this.time.schedule(this.random.nextInt(200), () -> this.entry.run(() -> this.entry.linkLost(this)));
		this.time.schedule(this.random.nextInt(3_000), () -> {
			this.toSidecar.discard();
			this.sidecar.run(() -> this.sidecar.linkLost(this));
		});
	}

	/**
	 * One direction of the link.
	 */
	private final class Direction {

		private final Deque<Runnable> pending = new ArrayDeque<>();

		private long lastArrivalAt;

		private long delayMillis;

		private boolean stalled;

		private boolean discarded;

		private int stalledArrivals;

		void send(Runnable delivery) {
			if (this.discarded || FakeLink.this.broken) {
				return;
			}
			this.pending.add(delivery);
			long now = FakeLink.this.time.now();
			this.lastArrivalAt = Math.max(this.lastArrivalAt, now + 1 + FakeLink.this.random.nextInt(3));
			FakeLink.this.time.schedule(this.lastArrivalAt - now, this::arrive);
		}

		void resume() {
			this.stalled = false;
			int count = this.stalledArrivals;
			this.stalledArrivals = 0;
			for (int i = 0; i < count; i++) {
				arrive();
			}
		}

		void discard() {
			this.discarded = true;
			this.pending.clear();
		}

		private void arrive() {
			if (this.stalled) {
				this.stalledArrivals++;
				return;
			}
			Runnable delivery = this.pending.poll();
			if (delivery == null) {
				return;
			}
			if (this.delayMillis == 0) {
				delivery.run();
				return;
			}
			FakeLink.this.time.schedule(this.delayMillis, () -> {
				if (!this.discarded) {
					delivery.run();
				}
			});
		}

	}

}
