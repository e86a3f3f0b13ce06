package dev.laneworks.bench.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Factory methods for the baseline policies that the core is compared with.
 */
final class Baselines {

	private Baselines() {
	}

	// Assign requests to engines round-robin and start each at once.
	static Policy roundRobin(Replay replay) {
		return new CountingPolicy(replay, Integer.MAX_VALUE, true);
	}

	// Assign each request to the engine with the fewest requests; each engine runs a
	// limited number of them at a time.
	static Policy leastOutstanding(Replay replay, int maxRunning) {
		return new CountingPolicy(replay, maxRunning, false);
	}

	/**
	 * Policy that considers only the number of requests at each engine.
	 */
	private static final class CountingPolicy implements Policy {

		private final Replay replay;

		private final int maxRunning;

		private final boolean rotate;

		private final int[] outstanding;

		private final int[] running;

		private final Deque<Integer>[] queues;

		@SuppressWarnings("unchecked")
		CountingPolicy(Replay replay, int maxRunning, boolean rotate) {
			this.replay = replay;
			this.maxRunning = maxRunning;
			this.rotate = rotate;
			this.outstanding = new int[replay.engineCount()];
			this.running = new int[replay.engineCount()];
			this.queues = new Deque[replay.engineCount()];
			for (int i = 0; i < this.queues.length; i++) {
				this.queues[i] = new ArrayDeque<>();
			}
		}

		@Override
		public void handleArrival(int number, Arrival arrival, long nowMillis) {
			int engine = this.rotate ? number % this.outstanding.length : leastLoaded();
			this.outstanding[engine]++;
			this.queues[engine].add(number);
			admit(engine, nowMillis);
		}

		@Override
		public void handleToken(int engine, int number, int offset, long nowMillis) {
			// Tokens do not affect the policy.
		}

		@Override
		public void handleEnd(int engine, int number, int total, long nowMillis) {
			this.outstanding[engine]--;
			this.running[engine]--;
			admit(engine, nowMillis);
		}

		@Override
		public void tick(long nowMillis) {
			// The policy has no timers.
		}

		private void admit(int engine, long nowMillis) {
			while (this.running[engine] < this.maxRunning && !this.queues[engine].isEmpty()) {
				int number = this.queues[engine].poll();
				this.running[engine]++;
				this.replay.start(engine, number, this.replay.trace().arrivals().get(number), nowMillis);
			}
		}

		private int leastLoaded() {
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
