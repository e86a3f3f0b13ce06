package dev.laneworks.bench.fuzz;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * A connection between an entry and a sidecar: in order, never twice, until it breaks.
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

	void cut(boolean sidecarWay, boolean entryWay) {
		this.toSidecar.stalled = sidecarWay;
		this.toEntry.stalled = entryWay;
	}

	void mend() {
		this.toSidecar.release();
		this.toEntry.release();
	}

	boolean isCut() {
		return this.toSidecar.stalled || this.toEntry.stalled;
	}

	// The entry hears of it soon; the sidecar up to seconds later, and some messages
	// under way still reach it.
	void breakOff() {
		if (this.broken) {
			return;
		}
		this.broken = true;
		this.toEntry.lose();
		if (this.random.nextBoolean()) {
			this.toSidecar.lose();
		}
		else {
			this.toSidecar.release();
			this.toSidecar.slow = this.random.nextInt(2_000);
		}
		this.time.after(this.random.nextInt(200), () -> this.entry.run(() -> this.entry.linkLost(this)));
		this.time.after(this.random.nextInt(3_000), () -> {
			this.toSidecar.lose();
			this.sidecar.run(() -> this.sidecar.linkLost(this));
		});
	}

	/**
	 * One direction of the connection.
	 */
	private final class Direction {

		private final Deque<Runnable> waiting = new ArrayDeque<>();

		private long lastAt;

		private long slow;

		private boolean stalled;

		private boolean lost;

		private int due;

		void send(Runnable delivery) {
			if (this.lost || FakeLink.this.broken) {
				return;
			}
			this.waiting.add(delivery);
			long now = FakeLink.this.time.now();
			this.lastAt = Math.max(this.lastAt, now + 1 + FakeLink.this.random.nextInt(3));
			FakeLink.this.time.after(this.lastAt - now, this::arrive);
		}

		void release() {
			this.stalled = false;
			int count = this.due;
			this.due = 0;
			for (int i = 0; i < count; i++) {
				arrive();
			}
		}

		void lose() {
			this.lost = true;
			this.waiting.clear();
		}

		private void arrive() {
			if (this.stalled) {
				this.due++;
				return;
			}
			Runnable delivery = this.waiting.poll();
			if (delivery == null) {
				return;
			}
			if (this.slow == 0) {
				delivery.run();
				return;
			}
			FakeLink.this.time.after(this.slow, () -> {
				if (!this.lost) {
					delivery.run();
				}
			});
		}

	}

}
