package dev.laneworks.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.gossip.ServiceDemand;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.poison.PoisonSettings;
import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.RouteSpec;
import dev.laneworks.core.serving.WeightedService;
import dev.laneworks.core.shares.AccountOveruse;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.waiting.FixedStartLimit;
import dev.laneworks.core.waiting.GenerationQueues;
import dev.laneworks.core.waiting.PeerDemand;
import dev.laneworks.core.waiting.WaitingOrder;
import dev.laneworks.core.waiting.WaitingSettings;

/**
 * Simulation of several entries and engines under a load of two kinds of generations,
 * whose callers retry once after a refusal.
 * <p>
 * Callers wait for the advertised retry delay, but for at most a third of their remaining
 * time. Engines start a generation once its memory is free, read one prompt at a time and
 * send an event of each executing generation at a fixed interval. In a fleet whose
 * engines are reclaimed, they are {@link StepwiseEngine}s.
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

	private final Map<String, FleetEngine> engines = new LinkedHashMap<>();

	private final Map<DispatchHarness, GenerationQueues> queues = new HashMap<>();

	/** The demand of all entries as of the last gossip update. */
	private final Map<DispatchHarness, ServiceDemand> demand = new HashMap<>();

	private Optional<ReclaimedEngines> reclaimed = Optional.empty();

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
	 * Create a fleet whose engines are reclaimed at intervals.
	 * @param entries the number of entries
	 * @param engines the number of engines
	 * @param order the order in which generations wait at entries; empty if none wait
	 * @param seed the seed of all random choices
	 */
	OverloadedFleet(int entries, int engines, Optional<WaitingOrder> order, long seed) {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < entries; i++) {
			addEntry(entries, i, order, seed * 100 + i);
		}
		this.reclaimed = Optional.of(new ReclaimedEngines(this.entries, this.engines, engines, this.random.split()));
	}

	private void addEntry(int entries, int rank, Optional<WaitingOrder> order, long seed) {
		GenerationQueues[] own = new GenerationQueues[1];
		DispatchHarness[] entry = new DispatchHarness[1];
		own[0] = new GenerationQueues(order.map((o) -> new WaitingSettings(3_000, o, 512, false)),
				new FixedStartLimit(() -> own[0].governed()), AccountOveruse.NONE,
				new ReportedDemand(() -> entry[0], entries), new SplittableRandom(seed));
		entry[0] = new DispatchHarness(1, 100, seed,
				new Mechanisms(Set.of(Mechanism.RUNNING_COPIES, Mechanism.STANDBY_COPIES)), PoisonSettings.defaults(),
				own[0], StepwiseEngine.plan());
		entry[0].entries = entries;
		entry[0].rank = rank;
		this.entries.add(entry[0]);
		this.open.put(entry[0], new HashMap<>());
		this.queues.put(entry[0], own[0]);
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
			if (kind == Kind.PAGE_LONG || kind == Kind.PAGE_SHORT) {
				// Callers know the length of an answer roughly.
				caller.hint = OptionalLong
					.of(Math.round(events * TOKENS_PER_EVENT * (0.75 + this.random.nextDouble() / 2)));
			}
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
			this.entries.forEach(this::collect);
			this.reclaimed.ifPresent((r) -> r.run(this.now));
			List.copyOf(this.engines.values()).forEach((e) -> e.step(this.now));
		}
	}

	int openCalls() {
		return this.entries.stream().mapToInt((e) -> e.dispatcher.openCalls()).sum();
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
		this.queues.forEach((e, q) -> this.demand.put(e,
				q.demand().stream().findFirst().orElse(ServiceDemand.none(DispatchHarness.ENGINES))));
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
		RouteSpec route = caller.kind.route();
		GenerationSize size = new GenerationSize("m", caller.kind.promptTokens, caller.kind.maxTokens, caller.hint,
				List.of());
		this.open.get(entry).put(number, caller);
		entry.dispatcher.open(number,
				new DirectRequest(DispatchHarness.id(number), route, DispatchHarness.ENGINES, "acme",
						caller.givesUpAt - this.now, AllowedRegions.any(), DispatchHarness.digest(number),
						Optional.of(size)),
				this.now);
		entry.passTime(0);
		collect(entry);
	}

	// Passes new attempts to the engines and refusals to the callers.
	private void collect(DispatchHarness entry) {
		Map<Long, Caller> callers = this.open.get(entry);
		List<DispatchHarness.Sent> sent = List.copyOf(entry.sent);
		entry.sent.clear();
		for (DispatchHarness.Sent attempt : sent) {
			FleetEngine engine = this.engines.get(attempt.target().id());
			if (engine == null) {
				entry.dispatcher.connectFailed(attempt.call(), attempt.attempt(), ConnectFault.TIMED_OUT, "ended",
						this.now);
			}
			else if (entry.assertReady(attempt)) {
				engine.add(new Execution(callers.get(attempt.call()), attempt));
			}
		}
		Map<Long, Refusal> refusals = Map.copyOf(entry.refusals);
		entry.refusals.clear();
		refusals.forEach((call, refusal) -> handleRefusal(callers.get(call), refusal));
	}

	private void handleRefusal(Caller caller, Refusal refusal) {
		caller.refusals++;
		caller.failed |= refusal.retryAfter().isEmpty();
		if (caller.refusals == 1 && !caller.failed) {
			caller.entry = this.entries.get(this.random.nextInt(this.entries.size()));
			caller.dueAt = this.now
					+ Math.min(refusal.retryAfter().get().toMillis(), (caller.givesUpAt - this.now) / 3);
			this.due.add(caller);
		}
	}

	/**
	 * Kinds of generations.
	 */
	enum Kind {

		LONG(0, 3_000, 1_000, 186, 1_800, 39_000),

		SHORT(1, 2_200, 40, 3, 1_500, 6_000),

		PAGE_LONG(2, 3_079, 1_122, 187, 4_006, 39_054),

		PAGE_SHORT(0, 2_550, 12, 2, 1_504, 6_016);

		private final int rank;

		private final long promptTokens;

		private final long maxTokens;

		private final int events;

		private final long goalMillis;

		private final long callerTimeoutMillis;

		RouteSpec route() {
			return new RouteSpec(name(), "h", "/", RequestKind.STREAMING, this.callerTimeoutMillis, this.goalMillis,
					180, this.rank, 1, false, List.of(new WeightedService(DispatchHarness.ENGINES, 1)),
					AllowedRegions.any());
		}

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

		ALL, IN_TIME, LATE, REFUSED, REFUSED_AGAIN, COMPLETE_IN_TIME, COMPLETE_LATE, REFUSED_FINALLY, FAILED;

		/** The goal of the longest pause between events. */
		private static final long MAX_PAUSE_MILLIS = 180;

		private boolean matches(Caller caller) {
			boolean isServed = caller.firstEventAt > 0 && caller.firstEventAt <= caller.givesUpAt;
			boolean isInTime = isServed && caller.firstEventAt - caller.arrivedAt <= caller.kind.goalMillis;
			return switch (this) {
				case ALL -> true;
				case IN_TIME -> isInTime;
				case LATE -> isServed && !isInTime;
				case REFUSED -> caller.refusals > 0;
				case REFUSED_AGAIN -> caller.refusals > 1;
				case COMPLETE_IN_TIME -> caller.complete && isInTime && caller.longestPause <= MAX_PAUSE_MILLIS;
				case COMPLETE_LATE -> caller.complete && !(isInTime && caller.longestPause <= MAX_PAUSE_MILLIS);
				case REFUSED_FINALLY -> !caller.complete && !caller.failed && caller.refusals > 1;
				case FAILED -> !caller.complete && (caller.failed || caller.refusals <= 1);
			};
		}

	}

	static final class Caller {

		private final Kind kind;

		private DispatchHarness entry;

		private final int events;

		private final long arrivedAt;

		private final long givesUpAt;

		private long dueAt;

		private int refusals;

		private long firstEventAt;

		private long lastEventAt;

		private long longestPause;

		private boolean complete;

		private boolean failed;

		private OptionalLong hint = OptionalLong.empty();

		private Caller(Kind kind, DispatchHarness entry, int events, long at) {
			this.kind = kind;
			this.entry = entry;
			this.events = events;
			this.arrivedAt = at;
			this.dueAt = at;
			this.givesUpAt = at + kind.callerTimeoutMillis;
		}

	}

	static final class Execution {

		private final Caller caller;

		private final DispatchHarness.Sent sent;

		double unreadPromptTokens;

		private long nextEventAt;

		int passed;

		private Execution(Caller caller, DispatchHarness.Sent sent) {
			this.caller = caller;
			this.sent = sent;
			this.unreadPromptTokens = caller.kind.promptTokens;
		}

		long tokens() {
			return this.caller.kind.promptTokens + (long) this.passed * TOKENS_PER_EVENT;
		}

		DispatchHarness.Sent sent() {
			return this.sent;
		}

		DispatchHarness entry() {
			return this.caller.entry;
		}

		int rank() {
			return this.caller.kind.rank;
		}

		// Sends the next event and returns whether the execution goes on.
		boolean sendEvent(long now) {
			Caller to = this.caller;
			boolean isNew = to.entry.dispatcher.eventReceived(this.sent.call(), this.sent.attempt(), this.passed, now);
			if (!isNew) {
				return false;
			}
			to.firstEventAt = (this.passed == 0) ? now : to.firstEventAt;
			to.longestPause = (this.passed == 0) ? 0 : Math.max(to.longestPause, now - to.lastEventAt);
			to.lastEventAt = now;
			this.passed++;
			if (this.passed < to.events) {
				return true;
			}
			to.complete = true;
			to.entry.dispatcher.streamEnded(this.sent.call(), this.sent.attempt(), now);
			return false;
		}

	}

	/** Demand of the other entries as of the last gossip update. */
	private final class ReportedDemand implements PeerDemand {

		private final Supplier<DispatchHarness> own;

		private final int entries;

		private ReportedDemand(Supplier<DispatchHarness> own, int entries) {
			this.own = own;
			this.entries = entries;
		}

		@Override
		public ServiceDemand demandOfOthers(String service) {
			return OverloadedFleet.this.demand.entrySet()
				.stream()
				.filter((e) -> e.getKey() != this.own.get())
				.map(Map.Entry::getValue)
				.reduce(ServiceDemand.none(service), ServiceDemand::plus);
		}

		@Override
		public ServiceDemand demandNearby(String service) {
			return demandOfOthers(service);
		}

		@Override
		public int entries() {
			return this.entries;
		}

	}

	/** Engine of a fleet. */
	interface FleetEngine {

		void add(Execution execution);

		void step(long now);

	}

	private final class Engine implements FleetEngine {

		private final Deque<Execution> waiting = new ArrayDeque<>();

		private final List<Execution> running = new ArrayList<>();

		@Override
		public void add(Execution execution) {
			this.waiting.add(execution);
		}

		@Override
		public void step(long now) {
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
