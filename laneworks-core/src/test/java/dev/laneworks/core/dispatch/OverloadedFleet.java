package dev.laneworks.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.RouteSpec;
import dev.laneworks.core.serving.WeightedService;

/**
 * Simulation of several entries and engines under a load of two kinds of generations,
 * whose callers retry once after a refusal.
 * <p>
 * Callers wait for the advertised retry delay, but for at most a third of their remaining
 * time. Engines start a generation once its memory is free, read one prompt at a time and
 * send an event of each executing generation at a fixed interval.
 */
final class OverloadedFleet {

	/** The interval of gossip updates between entries, in milliseconds. */
	private static final long GOSSIP_INTERVAL_MILLIS = 30;

	private static final long MEMORY_TOKENS = 34_000;

	private static final double READ_TOKENS_PER_MILLI = 10;

	private static final int EVENT_INTERVAL_MILLIS = 40;

	private static final int TOKENS_PER_EVENT = 4;

	private final SplittableRandom random;

	private final List<DispatchHarness> entries = new ArrayList<>();

	private final Map<String, Engine> engines = new HashMap<>();

	private final PriorityQueue<Caller> due = new PriorityQueue<>((a, b) -> Long.compare(a.dueAt, b.dueAt));

	private final Map<DispatchHarness, Map<Long, Caller>> open = new HashMap<>();

	private final List<Caller> callers = new ArrayList<>();

	private long calls;

	private long now;

	OverloadedFleet(int entries, int engines, long seed) {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < entries; i++) {
			DispatchHarness entry = new DispatchHarness(1, 100, seed * 100 + i);
			entry.entries = entries;
			entry.rank = i;
			this.entries.add(entry);
			this.open.put(entry, new HashMap<>());
		}
		for (int i = 0; i < engines; i++) {
			String id = "e" + i;
			this.engines.put(id, new Engine());
			this.entries.forEach((e) -> e.join(DispatchHarness.ENGINES, id));
		}
	}

	/**
	 * Schedule the arrival of callers at random times.
	 * @param kind the kind of generation that they request
	 * @param perSecond the average number of arrivals per second
	 * @param from the start of the arrivals, in milliseconds
	 * @param to the end of the arrivals, in milliseconds
	 */
	void scheduleArrivals(Kind kind, double perSecond, long from, long to) {
		double at = from;
		while (true) {
			at -= Math.log(1 - this.random.nextDouble()) * 1_000 / perSecond;
			if (at >= to) {
				return;
			}
			DispatchHarness entry = this.entries.get(this.random.nextInt(this.entries.size()));
			int events = (int) Math.round(kind.events * (0.5 + this.random.nextDouble()));
			Caller caller = new Caller(kind, entry, Math.max(1, events), Math.round(at));
			this.callers.add(caller);
			this.due.add(caller);
		}
	}

	void run(long until) {
		for (; this.now < until; this.now++) {
			if (this.now % GOSSIP_INTERVAL_MILLIS == 0) {
				exchangeWork();
			}
			this.entries.forEach((e) -> e.passTime(this.now - e.now));
			while (!this.due.isEmpty() && this.due.peek().dueAt <= this.now) {
				open(this.due.poll());
			}
			this.engines.values().forEach(Engine::step);
		}
	}

	long count(Kind kind, Outcome outcome) {
		return this.callers.stream().filter((c) -> c.kind == kind && outcome.matches(c)).count();
	}

	private void exchangeWork() {
		Map<DispatchHarness, Map<String, WorkAtTarget>> work = new HashMap<>();
		Map<String, WorkAtTarget> all = new HashMap<>();
		for (DispatchHarness entry : this.entries) {
			Map<String, WorkAtTarget> own = work.computeIfAbsent(entry, (e) -> new HashMap<>());
			entry.estimates.localWork().forEach((w) -> {
				own.put(w.target().id(), w);
				all.merge(w.target().id(), w, WorkAtTarget::plus);
			});
		}
		for (DispatchHarness entry : this.entries) {
			for (String engine : this.engines.keySet()) {
				TargetIncarnation incarnation = TargetIncarnation.of(engine);
				WorkAtTarget none = WorkAtTarget.none(incarnation);
				WorkAtTarget sum = all.getOrDefault(engine, none);
				WorkAtTarget own = work.get(entry).getOrDefault(engine, none);
				entry.workOfOthers.put(engine,
						new WorkAtTarget(incarnation, sum.requests() - own.requests(),
								sum.reservedTokens() - own.reservedTokens(),
								sum.pendingPromptTokens() - own.pendingPromptTokens(), 0, false, 0, false));
			}
		}
	}

	private void open(Caller caller) {
		long number = ++this.calls;
		DispatchHarness entry = caller.entry;
		RouteSpec route = new RouteSpec(caller.kind.name(), "h", "/", RequestKind.STREAMING,
				caller.kind.callerTimeoutMillis, caller.kind.goalMillis, 180, caller.kind.rank, 1, false,
				List.of(new WeightedService(DispatchHarness.ENGINES, 1)), AllowedRegions.any());
		GenerationSize size = new GenerationSize("m", caller.kind.promptTokens, caller.kind.maxTokens,
				OptionalLong.empty(), List.of());
		this.open.get(entry).put(number, caller);
		int before = entry.sent.size();
		entry.dispatcher.open(number,
				new DirectRequest(DispatchHarness.id(number), route, DispatchHarness.ENGINES, "acme",
						caller.givesUpAt - this.now, AllowedRegions.any(), DispatchHarness.digest(number),
						Optional.of(size)),
				this.now);
		entry.passTime(0);
		for (DispatchHarness.Sent sent : List.copyOf(entry.sent.subList(before, entry.sent.size()))) {
			if (entry.assertReady(sent)) {
				this.engines.get(sent.target().id()).waiting.add(new Execution(caller, sent));
			}
		}
		Optional.ofNullable(entry.refusals.get(number)).ifPresent((r) -> {
			caller.refusals++;
			long retryAfterMillis = r.retryAfter().get().toMillis();
			if (caller.refusals == 1) {
				caller.entry = this.entries.get(this.random.nextInt(this.entries.size()));
				caller.dueAt = this.now + Math.min(retryAfterMillis, (caller.givesUpAt - this.now) / 3);
				this.due.add(caller);
			}
		});
	}

	/**
	 * Kinds of generations.
	 */
	enum Kind {

		LONG(0, 3_000, 1_000, 186, 1_800, 39_000),

		SHORT(1, 2_200, 40, 3, 1_500, 6_000);

		private final int rank;

		private final long promptTokens;

		private final long maxTokens;

		private final int events;

		private final long goalMillis;

		private final long callerTimeoutMillis;

		Kind(int rank, long promptTokens, long maxTokens, int events, long goalMillis, long callerTimeoutMillis) {
			this.rank = rank;
			this.promptTokens = promptTokens;
			this.maxTokens = maxTokens;
			this.events = events;
			this.goalMillis = goalMillis;
			this.callerTimeoutMillis = callerTimeoutMillis;
		}

	}

	/**
	 * Outcomes for a caller.
	 */
	enum Outcome {

		ALL, IN_TIME, LATE, REFUSED, REFUSED_AGAIN;

		private boolean matches(Caller caller) {
			boolean isServed = caller.firstEventAt > 0 && caller.firstEventAt <= caller.givesUpAt;
			boolean isInTime = isServed && caller.firstEventAt - caller.arrivedAt <= caller.kind.goalMillis;
			return switch (this) {
				case ALL -> true;
				case IN_TIME -> isInTime;
				case LATE -> isServed && !isInTime;
				case REFUSED -> caller.refusals > 0;
				case REFUSED_AGAIN -> caller.refusals > 1;
			};
		}

	}

	private static final class Caller {

		private final Kind kind;

		private DispatchHarness entry;

		private final int events;

		private final long arrivedAt;

		private final long givesUpAt;

		private long dueAt;

		private int refusals;

		private long firstEventAt;

		private Caller(Kind kind, DispatchHarness entry, int events, long at) {
			this.kind = kind;
			this.entry = entry;
			this.events = events;
			this.arrivedAt = at;
			this.dueAt = at;
			this.givesUpAt = at + kind.callerTimeoutMillis;
		}

	}

	private static final class Execution {

		private final Caller caller;

		private final DispatchHarness.Sent sent;

		private double unreadPromptTokens;

		private long nextEventAt;

		private int passed;

		private Execution(Caller caller, DispatchHarness.Sent sent) {
			this.caller = caller;
			this.sent = sent;
			this.unreadPromptTokens = caller.kind.promptTokens;
		}

		private long tokens() {
			return this.caller.kind.promptTokens + (long) this.passed * TOKENS_PER_EVENT;
		}

	}

	private final class Engine {

		private final Deque<Execution> waiting = new ArrayDeque<>();

		private final List<Execution> running = new ArrayList<>();

		private void step() {
			long used = this.running.stream().mapToLong(Execution::tokens).sum();
			while (!this.waiting.isEmpty() && used + this.waiting.peek().tokens() <= MEMORY_TOKENS) {
				Execution next = this.waiting.poll();
				used += next.tokens();
				this.running.add(next);
			}
			this.running.stream().filter((r) -> r.unreadPromptTokens > 0).findFirst().ifPresent(this::read);
			List.copyOf(this.running).forEach(this::generate);
		}

		private void read(Execution execution) {
			execution.unreadPromptTokens -= READ_TOKENS_PER_MILLI;
			if (execution.unreadPromptTokens <= 0) {
				execution.nextEventAt = OverloadedFleet.this.now;
			}
		}

		private void generate(Execution execution) {
			if (execution.unreadPromptTokens > 0 || execution.nextEventAt > OverloadedFleet.this.now) {
				return;
			}
			DispatchHarness entry = execution.caller.entry;
			execution.caller.firstEventAt = (execution.passed == 0) ? OverloadedFleet.this.now
					: execution.caller.firstEventAt;
			boolean isOpen = entry.dispatcher.eventReceived(execution.sent.call(), execution.sent.attempt(),
					execution.passed, OverloadedFleet.this.now);
			execution.passed++;
			execution.nextEventAt = OverloadedFleet.this.now + EVENT_INTERVAL_MILLIS;
			if (!isOpen || execution.passed >= execution.caller.events) {
				this.running.remove(execution);
				entry.dispatcher.streamEnded(execution.sent.call(), execution.sent.attempt(), OverloadedFleet.this.now);
			}
		}

	}

}
