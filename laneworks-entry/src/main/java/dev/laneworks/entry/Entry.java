package dev.laneworks.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import dev.laneworks.core.call.CallCoordinator;
import dev.laneworks.core.call.CallCounters;
import dev.laneworks.core.configuration.ConfigurationLedger;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.configuration.TargetDescription;
import dev.laneworks.core.peer.ConfigurationKeeper;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.retry.RetryBudget;
import dev.laneworks.core.routing.DefaultTargetSelector;
import dev.laneworks.core.routing.TargetBoard;
import dev.laneworks.core.routing.TargetState;
import dev.laneworks.core.routing.TargetSubset;
import dev.laneworks.entry.caller.CallTimes;
import dev.laneworks.entry.caller.CallerServer;
import dev.laneworks.runtime.duty.Duty;
import dev.laneworks.runtime.log.LogLine;
import dev.laneworks.runtime.operator.OperatorServer;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.MonotonicClock;
import dev.laneworks.runtime.program.ProcessParts;
import dev.laneworks.wire.LinkSettings;
import dev.laneworks.wire.PeerIdentity;
import dev.laneworks.wire.TargetLinks;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.undertow.Handlers;

/**
 * One running entry: its threads, its links, its callers.
 * <p>
 * The duties are: deciding, links (one event loop), HTTP (I/O threads of one worker) and
 * logging.
 *
 * @since 0.1
 */
public final class Entry {

	private static final int RING = 16_384;

	private static final Duration TICK = Duration.ofMillis(10);

	private static final long PEERS_SUFFICE_MILLIS = 30_000;

	private static final double RETRIES_PER_SECOND = 1;

	private static final double RETRIES_SAVED = 20;

	/** How long the balancer may go on sending callers after readiness ends. */
	private static final long BALANCER_MILLIS = 2_000;

	private final EntrySettings settings;

	private final ProcessParts parts;

	private final SplittableRandom random = new SplittableRandom(ThreadLocalRandom.current().nextLong());

	private final DutyCalls calls;

	private volatile long stoppingSince;

	private volatile boolean ready;

	private Duty<EntryState> duty;

	private TargetLinks links;

	private volatile CallerServer callers;

	/**
	 * Create an entry; {@link #run()} starts it.
	 * @param settings its settings
	 */
	public Entry(EntrySettings settings) {
		this.settings = settings;
		this.parts = new ProcessParts("entry", settings.common(), 2);
		this.calls = new DutyCalls(() -> this.duty, settings.callers().maxCalls());
	}

	/**
	 * Run until the planned stop is over.
	 * @return how the process ends
	 */
	public ExitCode run() {
		MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.duty = new Duty<>("calls", createState(loops.next()), RING, TICK, this::tick);
		this.parts.supervisor().start(this.duty);
		this.callers = new CallerServer(this.parts.io(), this.settings.callers(), this.calls, this.settings.secret(),
				new CallTimes(this.parts.metrics()), this::isReady);
		OperatorServer operators = new OperatorServer(this.parts.io().worker(),
				this.settings.common().operatorAddress(), this.parts.metrics(), this.parts.audit(), this::isReady,
				() -> ProcessParts.ask(this.duty, this::status), Handlers.routing());
		operators.start();
		this.callers.start();
		LogLine.of("started").with("address", this.settings.callers().address().toString()).info();
		ExitCode code = this.parts.awaitEnd();
		this.callers.stop();
		operators.stop();
		this.links.close();
		this.parts.supervisor().stop();
		loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		return code;
	}

	/**
	 * Start the planned stop: fail the health check, go on with what is under way, then
	 * end.
	 */
	public void stop() {
		this.stoppingSince = Math.max(1, MonotonicClock.millis());
		this.parts.endAfter(this.settings.drainLimit());
	}

	private EntryState createState(EventLoop loop) {
		String instance = this.settings.common().instance();
		String dataCentre = this.settings.common().dataCentre();
		TargetBoard board = new TargetBoard();
		TargetSubset subset = new TargetSubset(instance, dataCentre, this.settings.ownShare(),
				this.settings.otherShare());
		DefaultTargetSelector selector = new DefaultTargetSelector(board, subset, dataCentre, this.random);
		PeerIdentity self = new PeerIdentity(instance, dataCentre, this.random.nextLong());
		this.links = new TargetLinks(loop, self, LinkSettings.defaults(), this.random.split(),
				new SidecarLinks((c) -> this.duty.put(c), this.calls));
		EntryState state = new EntryState(board, selector, this.links, seeds());
		Backoff backoff = new Backoff(Duration.ofMillis(50), Duration.ofSeconds(2), this.random);
		RetryBudget budget = new RetryBudget(this.settings.retryShare(), RETRIES_PER_SECOND, RETRIES_SAVED);
		CallCoordinator coordinator = new CallCoordinator(this.settings.calls(), selector, board, budget, backoff,
				state, this.parts.audit());
		state.use(coordinator, keeper());
		registerMetrics(coordinator.counters());
		return state;
	}

	private ConfigurationKeeper keeper() {
		Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(5), this.random);
		ConfigurationKeeper keeper = new ConfigurationKeeper(new ConfigurationLedger(),
				this.parts.configurationService(), backoff, PEERS_SUFFICE_MILLIS,
				(t) -> this.duty.put((s) -> t.accept(MonotonicClock.millis())), this::inForce, this.parts.audit());
		keeper.setWatcher(false);
		return keeper;
	}

	private void inForce(FleetConfiguration configuration) {
		this.calls.inForce(configuration);
		this.duty.put((s) -> s.inForce(configuration));
		this.ready = true;
	}

	private void tick(EntryState state) {
		state.tick();
		this.calls.openCalls(state.coordinator().openCalls());
		long since = this.stoppingSince;
		if (since != 0 && MonotonicClock.millis() - since >= BALANCER_MILLIS && isIdle(state)) {
			this.parts.end(ExitCode.OK);
		}
	}

	// A call is over when its output was given to its connection; its answer only when
	// that was written.
	private boolean isIdle(EntryState state) {
		return state.coordinator().openCalls() == 0 && (this.callers == null || this.callers.openAnswers() == 0);
	}

	private boolean isReady() {
		return this.ready && this.stoppingSince == 0;
	}

	private Object status(EntryState state) {
		long now = MonotonicClock.millis();
		ConfigurationLedger ledger = state.keeper().ledger();
		long age = ledger.confirmedAgeMillis(now);
		List<EntryStatus.TargetBelief> targets = state.selector()
			.usedTargets()
			.stream()
			.map((t) -> belief(state, t, now))
			.toList();
		return new EntryStatus(this.settings.common().instance(), this.settings.common().dataCentre(), ledger.version(),
				ledger.digest(), (age != ConfigurationLedger.NEVER_CONFIRMED) ? age : -1, state.keeper().lastRefusal(),
				state.keeper().serviceCalls(), state.coordinator().openCalls(), targets);
	}

	private static EntryStatus.TargetBelief belief(EntryState state, TargetDescription target, long now) {
		TargetState known = state.board().state(target.name());
		return new EntryStatus.TargetBelief(target.name(), target.dataCentre(),
				state.coordinator().incarnation(target.name()).isPresent(), known.isLeaving(),
				!known.health().isUsable(now), known.inFlight(), known.reportAgeMillis(now), known.report());
	}

	private void registerMetrics(CallCounters counters) {
		this.parts.gauge("laneworks_calls_opened", counters.opened()::sum);
		this.parts.gauge("laneworks_calls_finished", counters.finished()::sum);
		this.parts.gauge("laneworks_calls_refused", counters.refused()::sum);
		this.parts.gauge("laneworks_retries", counters.retried()::sum);
		this.parts.gauge("laneworks_tokens_delivered", counters.delivered()::sum);
		this.parts.gauge("laneworks_stray_messages", counters.strays()::sum);
		this.parts.gauge("laneworks_reattached", counters.reattached()::sum);
	}

	private Map<String, InetSocketAddress> seeds() {
		Map<String, InetSocketAddress> seeds = new HashMap<>();
		for (InetSocketAddress seed : this.settings.seeds()) {
			seeds.put(TargetLinks.SEED_PREFIX + seed.getHostString() + ':' + seed.getPort(), seed);
		}
		return seeds;
	}

}
