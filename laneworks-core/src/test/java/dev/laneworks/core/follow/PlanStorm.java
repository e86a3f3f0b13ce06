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
 * Processes in virtual time that follow one store, whose answers share a link of a stated
 * rate, and which writes a large item and then small ones all the time.
 * <p>
 * Small changes are told to all processes as soon as they are written, as others would
 * that have read them; the large one is not, since it fits no datagram.
 */
final class PlanStorm {

	private static final String PLAN = "plan";

	private static final long STEP_MILLIS = 10;

	private static final long SMALL_EACH_MILLIS = 100;

	/** After what part of an answer its arrival is heard of, in bytes. */
	private static final double PART_BYTES = 16_384;

	private static final long SMALL_BYTES = 400;

	private final double bytesPerMilli;

	private final long planBytes;

	private final Timers timers = new Timers();

	private final List<Process> processes = new ArrayList<>();

	/** What the link has yet to send. */
	private final Map<Process, Transfer> queue = new LinkedHashMap<>();

	private final List<StoreChange> history = new ArrayList<>();

	/** How long the store takes before it begins to send an answer. */
	private final long thinkMillis;

	private long revision = 1;

	private long now;

	/** The bytes that the store sent, those of answers that were given up included. */
	long bytes;

	/** The answers that were given up while they were under way. */
	int givenUp;

	PlanStorm(int count, long planBytes, double megabitPerSecond, long thinkMillis, long seed) {
		this.thinkMillis = thinkMillis;
		this.planBytes = planBytes;
		this.bytesPerMilli = megabitPerSecond * 1_000 / 8;
		SplittableRandom random = new SplittableRandom(seed);
		for (int i = 0; i < count; i++) {
			this.processes.add(new Process("p" + i, random.split()));
		}
		this.processes.forEach((p) -> p.follower.start(0));
	}

	/**
	 * Play until all processes have the plan.
	 * @param longest for how long it is played at the most, in milliseconds
	 * @return how long it took from when it was written, or empty if it took longer
	 */
	Optional<Long> untilAllHaveThePlan(long longest) {
		long written = 1_000;
		for (this.now = 0; this.now < written + longest; this.now += STEP_MILLIS) {
			this.timers.run(this.now);
			if (this.now == written) {
				write(PLAN);
			}
			else if (this.now % SMALL_EACH_MILLIS == 0) {
				tellAll(write("t" + this.now % 7));
			}
			sendFor(STEP_MILLIS);
			if (this.now > written && this.processes.stream().allMatch((p) -> p.hasPlan)) {
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

	private void tellAll(long written) {
		StoreChange change = this.history.get(this.history.size() - 1);
		StoreNews news = new StoreNews("other", "elsewhere", written - 1, written, List.of(change), false,
				StoreNews.Kind.READ);
		this.processes.forEach((p) -> p.follower.told(news, this.now));
	}

	// All answers that are under way share the link.
	private void sendFor(long millis) {
		double part = this.bytesPerMilli * millis / Math.max(1, this.queue.size());
		for (Map.Entry<Process, Transfer> next : List.copyOf(this.queue.entrySet())) {
			Transfer transfer = next.getValue();
			this.bytes += (long) Math.min(part, transfer.left);
			transfer.left -= part;
			transfer.sent += part;
			if (transfer.left <= 0) {
				this.queue.remove(next.getKey());
				this.timers.at(this.now, transfer.whole);
			}
			else if (transfer.sent >= PART_BYTES) {
				next.getKey().follower.progressed(transfer.call, this.now);
			}
		}
	}

	private static final class Transfer {

		private final long call;

		private double left;

		private double sent;

		private final Timers.TimedAction whole;

		Transfer(long call, double bytes, Timers.TimedAction whole) {
			this.call = call;
			this.left = bytes;
			this.whole = whole;
		}

	}

	private final class Process implements FollowOutputs {

		private final StoreFollower follower;

		private boolean hasPlan;

		private long call;

		/** The revision that the watch waits behind; none is open at the most. */
		private long since = Long.MAX_VALUE;

		Process(String name, SplittableRandom random) {
			SharedReading reading = new SharedReading(name, "z", () -> 0, (n) -> {
			}, (n) -> {
			});
			this.follower = new StoreFollower(new FollowSettings(4_000, 700, 60), this, new Listener(this),
					PlanStorm.this.timers, new Backoff(Duration.ofMillis(80), Duration.ofMillis(800), random), reading);
		}

		@Override
		public void readPage(long number, Optional<String> afterKey) {
			begin(number);
			long at = PlanStorm.this.revision;
			send(SMALL_BYTES, (t) -> this.follower.pageRead(number, List.of(), false, at, t));
		}

		@Override
		public void watch(long number, long from, long waitMillis) {
			begin(number);
			this.since = from;
			PlanStorm.this.timers.at(PlanStorm.this.now + waitMillis, (t) -> {
				if (this.call == number && this.since != Long.MAX_VALUE) {
					answerWith(List.of());
				}
			});
			answerWatch();
		}

		void answerWatch() {
			if (this.since < PlanStorm.this.revision) {
				long from = this.since;
				answerWith(PlanStorm.this.history.stream().filter((c) -> c.revision() > from).toList());
			}
		}

		private void answerWith(List<StoreChange> changes) {
			this.since = Long.MAX_VALUE;
			long number = this.call;
			long at = PlanStorm.this.revision;
			boolean isLarge = changes.stream().anyMatch((c) -> c.key().equals(PLAN));
			send(changes.size() * SMALL_BYTES + (isLarge ? PlanStorm.this.planBytes : 0),
					(t) -> this.follower.watched(number, changes, at, t));
		}

		private void begin(long number) {
			drop();
			this.call = number;
			this.since = Long.MAX_VALUE;
		}

		private void send(long size, Timers.TimedAction whole) {
			Transfer transfer = new Transfer(this.call, size, whole);
			PlanStorm.this.timers.at(PlanStorm.this.now + PlanStorm.this.thinkMillis, (t) -> {
				if (this.call == transfer.call) {
					PlanStorm.this.queue.put(this, transfer);
				}
			});
		}

		private void drop() {
			Transfer open = PlanStorm.this.queue.remove(this);
			if (open != null) {
				PlanStorm.this.givenUp++;
			}
		}

		@Override
		public void probe() {
			PlanStorm.this.timers.at(PlanStorm.this.now + STEP_MILLIS,
					(t) -> this.follower.probed(PlanStorm.this.revision, t));
		}

		@Override
		public void abandon() {
			drop();
			this.call = -1;
			this.since = Long.MAX_VALUE;
		}

	}

	private record Listener(Process of) implements FollowListener {

		@Override
		public void all(List<StoreItem> items, long now) {
			items.forEach((i) -> this.of.hasPlan |= i.key().equals(PLAN));
		}

		@Override
		public void changed(List<StoreChange> changes, long now) {
			changes.forEach((c) -> this.of.hasPlan |= c.key().equals(PLAN));
		}

		@Override
		public void missed(List<StoreChange> missed) {
			// Nothing is counted of that.
		}

		@Override
		public void behind(long known, long told) {
			// All are behind until they have the plan.
		}

		@Override
		public void askedAnew(int inARow, long waitedMillis) {
			// What was given up is counted where the link sends it.
		}

		@Override
		public void historyReplaced(long known, long at, long now) {
			// The store has one history.
		}

		@Override
		public void lost(String cause) {
			// The store is within reach.
		}

		@Override
		public void returnHeard(long now) {
			// The store was not away.
		}

		@Override
		public void regained(long awayMillis, boolean mayHaveBeenAway, long now) {
			// The store was not away.
		}

	}

}
