package dev.laneworks.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;

import dev.laneworks.core.backpressure.BackpressureSignals;
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
 * send an event of each executing generation at a fixed interval. Engines of uneven speed
 * work in steps instead, each of which generates a token of every generation and reads a
 * part of one prompt. In a fleet whose engines are reclaimed, they are
 * {@link StepwiseEngine}s.
 */
final class OverloadedFleet {

	/** The interval of gossip updates between entries, in milliseconds. */
	private static final long GOSSIP_INTERVAL_MILLIS = 30;

	private static final long MEMORY_TOKENS = 34_000;

	private static final double READ_TOKENS_PER_MILLI = 10;

	private static final int EVENT_INTERVAL_MILLIS = 40;

	private static final int TOKENS_PER_EVENT = 4;

	private static final int SLOTS = 24;

	/** The prompt tokens that an engine reads in one step. */
	private static final int CHUNK_TOKENS = 112;

	/** The goal for the longest pause between events. */
	private static final long MAX_PAUSE_MILLIS = 180;

	/**
	 * The number of gossip intervals between updates to entries of other data centres.
	 */
	private static final int DISTANT_INTERVALS = 10;

	private static final List<String> DATA_CENTRES = List.of("dc", "dc2", "dc3");

	/** The period for which the direction of a data centre's requests is determined. */
	private static final long DIRECTION_MILLIS = 500;

	/** The share sent elsewhere from which a data centre counts as overflowing. */
	private static final double OVERFLOWING_SHARE = 0.2;

	private final SplittableRandom random;

	private final int dataCentres;

	/** Requests that stayed and that were sent elsewhere, by data centre and period. */
	private final Map<Integer, Map<Long, int[]>> directions = new TreeMap<>();

	/** The speeds of engines that work in steps. */
	private Optional<UnevenSpeeds> speeds = Optional.empty();

	private boolean reportsSlowness;

	private final List<DispatchHarness> entries = new ArrayList<>();

	private final Map<String, FleetEngine> engines = new LinkedHashMap<>();

	private final Map<DispatchHarness, GenerationQueues> queues = new HashMap<>();

	/** The demand of all entries as of the last gossip update. */
	private final Map<DispatchHarness, ServiceDemand> demand = new HashMap<>();

	private Optional<ReclaimedEngines> reclaimed = Optional.empty();

	/** The latest work that each entry received, by sender. */
	private final Map<DispatchHarness, Map<DispatchHarness, List<WorkAtTarget>>> received = new HashMap<>();

	private final PriorityQueue<Caller> due = new PriorityQueue<>((a, b) -> Long.compare(a.dueAt, b.dueAt));

	private final Map<DispatchHarness, Map<Long, Caller>> open = new HashMap<>();

	private final List<Caller> callers = new ArrayList<>();

	private long calls;

	private long now;

	OverloadedFleet(int entries, int engines, long seed) {
		this(entries, engines, 1, Mechanisms.all(), seed);
	}

	/**
	 * Create a fleet whose entries and engines are distributed over data centres.
	 * @param entries the number of entries
	 * @param engines the number of engines
	 * @param dataCentres the number of data centres, at most 3
	 * @param mechanisms the mechanisms that the entries use
	 * @param seed the seed of all random choices
	 */
	OverloadedFleet(int entries, int engines, int dataCentres, Mechanisms mechanisms, long seed) {
		this.random = new SplittableRandom(seed);
		this.dataCentres = dataCentres;
		for (int i = 0; i < entries; i++) {
			DispatchHarness entry = new DispatchHarness(1, 100, seed * 100 + i, mechanisms, PoisonSettings.defaults(),
					DATA_CENTRES.get(i % dataCentres));
			entry.entries = entries;
			entry.rank = i;
			this.entries.add(entry);
			this.open.put(entry, new HashMap<>());
		}
		for (int i = 0; i < engines; i++) {
			String id = "e" + i;
			this.engines.put(id, new Engine(i));
			String dataCentre = DATA_CENTRES.get(i % dataCentres);
			this.entries.forEach((e) -> e.join(DispatchHarness.ENGINES, id, dataCentre));
		}
	}

	/**
	 * Let the engines work in steps of uneven duration.
	 * @param uneven the speeds of the engines
	 * @param reported whether the engines report their slowness
	 */
	void useSpeeds(UnevenSpeeds uneven, boolean reported) {
		this.speeds = Optional.of(uneven);
		this.reportsSlowness = reported;
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
		this.dataCentres = 1;
		for (int i = 0; i < entries; i++) {
			addEntry(entries, i, order, seed * 100 + i);
		}
		this.reclaimed = Optional.of(new ReclaimedEngines(this.entries, this.engines, engines, this.random.split()));
	}

	private void addEntry(int entries, int rank, Optional<WaitingOrder> order, long seed) {
		GenerationQueues[] own = new GenerationQueues[1];
		DispatchHarness[] entry = new DispatchHarness[1];
		own[0] = new GenerationQueues(order.map((o) -> new WaitingSettings(3_000, o, 512, false)),
				(s, p, t) -> entry[0].dispatcher.headroom().maxUtilization(s, p, t), AccountOveruse.NONE,
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

	/**
	 * Schedule the arrival of callers whose rate swings in each data centre at another
	 * phase.
	 * @param kind the kind of generation that they request
	 * @param perSecond the average number of arrivals per second in all data centres
	 * @param swing the deviation of the rate relative to its mean
	 * @param periodMillis the period of the rate
	 * @param to the end of the arrivals, in milliseconds
	 */
	void scheduleSwingingArrivals(Kind kind, double perSecond, double swing, long periodMillis, long to) {
		int before = this.callers.size();
		scheduleArrivals(kind, perSecond * (1 + swing), 0, to);
		List<Caller> added = List.copyOf(this.callers.subList(before, this.callers.size()));
		for (Caller caller : added) {
			double phase = (double) dataCentre(caller.entry) / this.dataCentres
					+ (double) caller.arrivedAt / periodMillis;
			double rate = 1 + swing * Math.sin(2 * Math.PI * phase);
			if (this.random.nextDouble() * (1 + swing) > rate) {
				this.callers.remove(caller);
				this.due.remove(caller);
			}
		}
	}

	private int dataCentre(DispatchHarness entry) {
		return this.entries.indexOf(entry) % this.dataCentres;
	}

	// The share of requests that were sent to another data centre.
	double shareElsewhere() {
		long[] sums = new long[2];
		this.directions.values().forEach((d) -> d.values().forEach((c) -> {
			sums[0] += c[0];
			sums[1] += c[1];
		}));
		return (double) sums[1] / Math.max(1, sums[0] + sums[1]);
	}

	// How often a data centre began or ceased to send many requests elsewhere.
	int changesOfDirection() {
		int changes = 0;
		for (Map<Long, int[]> periods : this.directions.values()) {
			boolean overflows = false;
			for (int[] counts : periods.values()) {
				boolean now = counts[1] > OVERFLOWING_SHARE * (counts[0] + counts[1]);
				changes += (now != overflows) ? 1 : 0;
				overflows = now;
			}
		}
		return changes;
	}

	private void recordDirection(DispatchHarness entry, DispatchHarness.Sent sent) {
		int from = dataCentre(entry);
		boolean isLocal = sent.target().dataCentre().equals(DATA_CENTRES.get(from));
		int[] counts = this.directions.computeIfAbsent(from, (d) -> new TreeMap<>())
			.computeIfAbsent(this.now / DIRECTION_MILLIS, (p) -> new int[2]);
		counts[isLocal ? 0 : 1]++;
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
		boolean isDistantDue = this.now % (DISTANT_INTERVALS * GOSSIP_INTERVAL_MILLIS) == 0;
		for (DispatchHarness from : this.entries) {
			List<WorkAtTarget> work = from.estimates.localWork(this.now);
			for (DispatchHarness to : this.entries) {
				if (to != from && (isDistantDue || dataCentre(to) == dataCentre(from))) {
					this.received.computeIfAbsent(to, (e) -> new HashMap<>()).put(from, work);
					work.forEach((w) -> w.speed().ifPresent((s) -> to.estimates.mergeSpeed(w.target(), s, this.now)));
				}
			}
		}
		this.received.forEach(this::sumWork);
		this.queues.forEach((e, q) -> this.demand.put(e,
				q.demand(this.now).stream().findFirst().orElse(ServiceDemand.none(DispatchHarness.ENGINES))));
	}

	private void sumWork(DispatchHarness entry, Map<DispatchHarness, List<WorkAtTarget>> ofOthers) {
		this.engines.keySet().forEach((e) -> entry.workOfOthers.put(e, WorkAtTarget.none(TargetIncarnation.of(e))));
		ofOthers.values()
			.forEach((l) -> l.forEach((w) -> entry.workOfOthers.merge(w.target().id(), w, WorkAtTarget::plus)));
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
			recordDirection(entry, attempt);
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

		ALL, IN_TIME, STEADY, LATE, REFUSED, REFUSED_AGAIN, COMPLETE_IN_TIME, COMPLETE_LATE, REFUSED_FINALLY, FAILED;

		private boolean matches(Caller caller) {
			boolean isServed = caller.firstEventAt > 0 && caller.firstEventAt <= caller.givesUpAt;
			boolean isInTime = isServed && caller.firstEventAt - caller.arrivedAt <= caller.kind.goalMillis;
			return switch (this) {
				case ALL -> true;
				case IN_TIME -> isInTime;
				case STEADY -> isInTime && caller.longestPauseMillis <= MAX_PAUSE_MILLIS;
				case LATE -> isServed && !isInTime;
				case REFUSED -> caller.refusals > 0;
				case REFUSED_AGAIN -> caller.refusals > 1;
				case COMPLETE_IN_TIME -> caller.complete && STEADY.matches(caller);
				case COMPLETE_LATE -> caller.complete && !STEADY.matches(caller);
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

		private long longestPauseMillis;

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

		private int tokensOfEvent;

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
			boolean isNew = to.entry.dispatcher.eventReceived(this.sent.call(), this.sent.attempt(),
					EventId.of(this.passed), now);
			if (!isNew) {
				return false;
			}
			to.firstEventAt = (this.passed == 0) ? now : to.firstEventAt;
			to.longestPauseMillis = (this.passed == 0) ? 0 : Math.max(to.longestPauseMillis, now - to.lastEventAt);
			to.lastEventAt = now;
			this.passed++;
			if (this.passed < to.events) {
				return true;
			}
			to.complete = true;
			to.entry.dispatcher.streamEnded(this.sent.call(), this.sent.attempt(), AnswerEnd.MARKED, now);
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

		private final int number;

		private long stepEndsAt;

		private Engine(int number) {
			this.number = number;
		}

		@Override
		public void add(Execution execution) {
			this.waiting.add(execution);
		}

		@Override
		public void step(long now) {
			if (OverloadedFleet.this.speeds.isPresent()) {
				unevenStep(OverloadedFleet.this.speeds.get());
				return;
			}
			admit();
			this.running.stream().filter((r) -> r.unreadPromptTokens > 0).findFirst().ifPresent(this::read);
			List.copyOf(this.running).forEach(this::generate);
		}

		private double slowness(UnevenSpeeds uneven) {
			return uneven.slowness("e" + this.number, OverloadedFleet.this.now);
		}

		private void unevenStep(UnevenSpeeds uneven) {
			if (OverloadedFleet.this.now < this.stepEndsAt) {
				return;
			}
			List<Execution> generating = this.running.stream().filter((r) -> r.unreadPromptTokens <= 0).toList();
			this.running.stream()
				.filter((r) -> r.unreadPromptTokens > 0)
				.findFirst()
				.ifPresent((r) -> r.unreadPromptTokens -= CHUNK_TOKENS);
			generating.stream()
				.filter((r) -> r.passed == 0 || ++r.tokensOfEvent % TOKENS_PER_EVENT == 0)
				.forEach(this::generate);
			admit();
			boolean reads = this.running.stream().anyMatch((r) -> r.unreadPromptTokens > 0);
			double millis = 7 + 0.12 * this.running.size() + (reads ? 8 : 0);
			this.stepEndsAt = OverloadedFleet.this.now
					+ Math.round(millis * UnevenSpeeds.usual(this.number) * slowness(uneven));
		}

		private void report(Execution execution) {
			OptionalDouble slowness = OverloadedFleet.this.reportsSlowness
					? OptionalDouble.of(slowness(OverloadedFleet.this.speeds.get())) : OptionalDouble.empty();
			TargetLoad load = new TargetLoad(this.running.size(), this.waiting.size(), SLOTS, slowness);
			AnswerHead head = new AnswerHead(200, DispatchHarness.id(execution.sent.call()), true, false, false, true,
					Optional.of(load), OptionalLong.empty(), BackpressureSignals.NONE);
			execution.caller.entry.dispatcher.headReceived(execution.sent.call(), execution.sent.attempt(), head,
					OverloadedFleet.this.now);
		}

		private void admit() {
			long used = this.running.stream().mapToLong(Execution::tokens).sum();
			while (!this.waiting.isEmpty() && used + this.waiting.peek().tokens() <= MEMORY_TOKENS
					&& this.running.size() < SLOTS) {
				Execution next = this.waiting.poll();
				used += next.tokens();
				this.running.add(next);
			}
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
			if (execution.passed == 0) {
				execution.caller.firstEventAt = OverloadedFleet.this.now;
				OverloadedFleet.this.speeds.ifPresent((s) -> report(execution));
			}
			else {
				execution.caller.longestPauseMillis = Math.max(execution.caller.longestPauseMillis,
						OverloadedFleet.this.now - execution.caller.lastEventAt);
			}
			execution.caller.lastEventAt = OverloadedFleet.this.now;
			boolean isOpen = entry.dispatcher.eventReceived(execution.sent.call(), execution.sent.attempt(),
					EventId.of(execution.passed), OverloadedFleet.this.now);
			execution.passed++;
			execution.nextEventAt = OverloadedFleet.this.now
					+ (OverloadedFleet.this.speeds.isPresent() ? 0 : EVENT_INTERVAL_MILLIS);
			if (!isOpen || execution.passed >= execution.caller.events) {
				this.running.remove(execution);
				entry.dispatcher.streamEnded(execution.sent.call(), execution.sent.attempt(), AnswerEnd.MARKED,
						OverloadedFleet.this.now);
			}
		}

	}

}
