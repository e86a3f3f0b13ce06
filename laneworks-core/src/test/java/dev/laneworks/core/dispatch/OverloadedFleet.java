package dev.laneworks.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

import dev.laneworks.core.backpressure.BackpressureSignals;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.poison.PoisonSettings;
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
 * send an event of each executing generation at a fixed interval. Engines of uneven speed
 * work in steps instead, each of which generates a token of every generation and reads a
 * part of one prompt.
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

	private final Map<String, Engine> engines = new HashMap<>();

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
			this.engines.values().forEach(Engine::step);
		}
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
	}

	private void sumWork(DispatchHarness entry, Map<DispatchHarness, List<WorkAtTarget>> ofOthers) {
		this.engines.keySet().forEach((e) -> entry.workOfOthers.put(e, WorkAtTarget.none(TargetIncarnation.of(e))));
		ofOthers.values()
			.forEach((l) -> l.forEach((w) -> entry.workOfOthers.merge(w.target().id(), w, WorkAtTarget::plus)));
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
			recordDirection(entry, sent);
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

		ALL, IN_TIME, STEADY, LATE, REFUSED, REFUSED_AGAIN;

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

		private long lastEventAt;

		private long longestPauseMillis;

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

		private int tokensOfEvent;

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

		private final int number;

		private long stepEndsAt;

		private Engine(int number) {
			this.number = number;
		}

		private void step() {
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
					execution.passed, OverloadedFleet.this.now);
			execution.passed++;
			execution.nextEventAt = OverloadedFleet.this.now
					+ (OverloadedFleet.this.speeds.isPresent() ? 0 : EVENT_INTERVAL_MILLIS);
			if (!isOpen || execution.passed >= execution.caller.events) {
				this.running.remove(execution);
				entry.dispatcher.streamEnded(execution.sent.call(), execution.sent.attempt(), OverloadedFleet.this.now);
			}
		}

	}

}
