package dev.laneworks.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The policies to compare with.
 */
final class Baselines {

	private Baselines() {
	}

	// Engines in turn, each of which admits all.
	static Policy roundRobin(Replay replay) {
		return new Simple(replay, Integer.MAX_VALUE, true);
	}

	// The engine with the fewest requests, each of which runs a fixed number at most.
	static Policy leastOutstanding(Replay replay, int cap) {
		return new Simple(replay, cap, false);
	}

	/**
	 * Counts requests and nothing else.
	 */
	private static final class Simple implements Policy {

		private final Replay replay;

		private final int cap;

		private final boolean inTurn;

		private final int[] outstanding;

		private final int[] running;

		private final Deque<Integer>[] queues;

		@SuppressWarnings("unchecked")
		Simple(Replay replay, int cap, boolean inTurn) {
			this.replay = replay;
			this.cap = cap;
			this.inTurn = inTurn;
			this.outstanding = new int[replay.engineCount()];
			this.running = new int[replay.engineCount()];
			this.queues = new Deque[replay.engineCount()];
			for (int i = 0; i < this.queues.length; i++) {
				this.queues[i] = new ArrayDeque<>();
			}
		}

		@Override
		public void arrive(int number, Arrival arrival, long nowMillis) {
			int engine = this.inTurn ? number % this.outstanding.length : fewest();
			this.outstanding[engine]++;
			this.queues[engine].add(number);
			admit(engine, nowMillis);
		}

		@Override
		public void token(int engine, int number, int offset, long nowMillis) {
			// Not looked at.
		}

		@Override
		public void end(int engine, int number, int total, long nowMillis) {
			this.outstanding[engine]--;
			this.running[engine]--;
			admit(engine, nowMillis);
		}

		@Override
		public void tick(long nowMillis) {
			// Nothing is due.
		}

		private void admit(int engine, long nowMillis) {
			while (this.running[engine] < this.cap && !this.queues[engine].isEmpty()) {
				int number = this.queues[engine].poll();
				this.running[engine]++;
				this.replay.start(engine, number, this.replay.trace().arrivals().get(number), nowMillis);
			}
		}

		private int fewest() {
			int best = 0;
			for (int i = 1; i < this.outstanding.length; i++) {
				if (this.outstanding[i] < this.outstanding[best]) {
					best = i;
				}
			}
			return best;
		}

	}

}
