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
import dev.laneworks.core.configuration.ConfigurationHolder;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.configuration.TargetDescription;
import dev.laneworks.core.peer.ConfigurationKeeper;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.retry.RetryBudget;
import dev.laneworks.core.routing.DefaultTargetSelector;
import dev.laneworks.core.routing.TargetState;
import dev.laneworks.core.routing.TargetStates;
import dev.laneworks.core.routing.TargetSubset;
import dev.laneworks.entry.caller.CallLatencyMetrics;
import dev.laneworks.entry.caller.CallerServer;
import dev.laneworks.runtime.duty.Duty;
import dev.laneworks.runtime.log.LogLine;
import dev.laneworks.runtime.operator.OperatorServer;
import dev.laneworks.runtime.program.BuildInfo;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.MonotonicClock;
import dev.laneworks.runtime.program.ProcessContext;
import dev.laneworks.wire.LinkSettings;
import dev.laneworks.wire.PeerIdentity;
import dev.laneworks.wire.TargetLinks;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.undertow.Handlers;

/**
 * One running entry with its threads, its links to sidecars and its HTTP server.
 * <p>
 * Routing decisions run on one duty thread, links on one event loop, HTTP on the I/O
 * threads of one worker, and logging on a thread of its own.
 *
 * @since 0.1
 */
public final class Entry {

	private static final int RING_CAPACITY = 16_384;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(10);

	private static final long PEER_CONFIRMATION_MAX_AGE_MILLIS = 30_000;

	private static final double RETRIES_PER_SECOND = 1;

	private static final double MAX_SAVED_RETRIES = 20;

	/** How long a load balancer may still send requests after readiness ends. */
	private static final long BALANCER_GRACE_MILLIS = 2_000;

	private final EntrySettings settings;

	private final ProcessContext context;

	private final SplittableRandom random = new SplittableRandom(ThreadLocalRandom.current().nextLong());

	private final DutyCallPort calls;

	private volatile long stoppingSince;

	private volatile boolean ready;

	private Duty<EntryState> duty;

	private TargetLinks links;

	private volatile CallerServer callerServer;

	/**
	 * Create an entry that {@link #run()} starts.
	 * @param settings the settings of the process
	 */
	public Entry(EntrySettings settings) {
		this.settings = settings;
		this.context = new ProcessContext("entry", settings.common(), 2);
		this.calls = new DutyCallPort(() -> this.duty, settings.callers().maxCalls());
	}

	/**
	 * Start the entry and wait until its graceful shutdown is complete.
	 * @return the exit code of the process
	 */
	public ExitCode run() {
		MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.duty = new Duty<>("calls", createState(eventLoops.next()), RING_CAPACITY, TICK_INTERVAL, this::tick);
		this.context.supervisor().start(this.duty);
		this.callerServer = new CallerServer(this.context.io(), this.settings.callers(), this.calls,
				this.settings.secret(), new CallLatencyMetrics(this.context.metrics()), this::isReady);
		OperatorServer operators = new OperatorServer(this.context.io().worker(),
				this.settings.common().operatorAddress(), this.context.metrics(), this.context.audit(), this::isReady,
				() -> ProcessContext.query(this.duty, this::status), Handlers.routing());
		operators.start();
		this.callerServer.start();
		LogLine.of("started")
			.with("address", this.settings.callers().address().toString())
			.with("build", BuildInfo.current().describe())
			.info();
		ExitCode code = this.context.awaitEnd();
		this.callerServer.stop();
		operators.stop();
		this.links.close();
		this.context.supervisor().stop();
		eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		return code;
	}

	/**
	 * Start a graceful shutdown: fail the readiness check, complete the open requests,
	 * then end.
	 */
	public void stop() {
		this.stoppingSince = Math.max(1, MonotonicClock.millis());
		this.context.scheduleEnd(this.settings.drainLimit());
	}

	private EntryState createState(EventLoop loop) {
		String instance = this.settings.common().instance();
		String dataCentre = this.settings.common().dataCentre();
		TargetStates states = new TargetStates();
		TargetSubset subset = new TargetSubset(instance, dataCentre, this.settings.targetsInOwnDataCentre(),
				this.settings.targetsInOtherDataCentres());
		DefaultTargetSelector selector = new DefaultTargetSelector(states, subset, dataCentre, this.random);
		PeerIdentity self = new PeerIdentity(instance, dataCentre, this.random.nextLong());
		this.links = new TargetLinks(loop, self, LinkSettings.defaults(), this.random.split(),
				new SidecarLinkListener((c) -> this.duty.put(c), this.calls));
		EntryState state = new EntryState(states, selector, this.links, seeds());
		Backoff backoff = new Backoff(Duration.ofMillis(50), Duration.ofSeconds(2), this.random);
		RetryBudget budget = new RetryBudget(this.settings.retryShare(), RETRIES_PER_SECOND, MAX_SAVED_RETRIES);
		CallCoordinator coordinator = new CallCoordinator(this.settings.calls(), selector, states, budget, backoff,
				state, this.context.audit());
		state.attach(coordinator, createConfigurationKeeper());
		registerMetrics(coordinator.counters());
		return state;
	}

	private ConfigurationKeeper createConfigurationKeeper() {
		Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(5), this.random);
		ConfigurationKeeper keeper = new ConfigurationKeeper(new ConfigurationHolder(),
				this.context.configurationService(), backoff, PEER_CONFIRMATION_MAX_AGE_MILLIS,
				(t) -> this.duty.put((s) -> t.accept(MonotonicClock.millis())), this::applyConfiguration,
				this.context.audit());
		keeper.setWatcher(false);
		return keeper;
	}

	private void applyConfiguration(FleetConfiguration configuration) {
		this.calls.applyConfiguration(configuration);
		this.duty.put((s) -> s.applyConfiguration(configuration));
		this.ready = true;
	}

	private void tick(EntryState state) {
		state.tick();
		this.calls.setOpenCalls(state.coordinator().openCalls());
		long since = this.stoppingSince;
		if (since != 0 && MonotonicClock.millis() - since >= BALANCER_GRACE_MILLIS && isIdle(state)) {
			this.context.requestEnd(ExitCode.OK);
		}
	}

	// A call ends when its output has been passed to the connection, its response only
	// when that output has been written.
	private boolean isIdle(EntryState state) {
		return state.coordinator().openCalls() == 0
				&& (this.callerServer == null || this.callerServer.openResponses() == 0);
	}

	private boolean isReady() {
		return this.ready && this.stoppingSince == 0;
	}

	private Object status(EntryState state) {
		long now = MonotonicClock.millis();
		ConfigurationHolder holder = state.keeper().configurationHolder();
		long age = holder.confirmedAgeMillis(now);
		List<EntryStatus.TargetStatus> targets = state.selector()
			.usedTargets()
			.stream()
			.map((t) -> targetStatus(state, t, now))
			.toList();
		return new EntryStatus(this.settings.common().instance(), this.settings.common().dataCentre(), holder.version(),
				holder.digest(), (age != ConfigurationHolder.NEVER_CONFIRMED) ? age : -1, state.keeper().lastRefusal(),
				state.keeper().serviceCalls(), state.coordinator().openCalls(), targets);
	}

	private static EntryStatus.TargetStatus targetStatus(EntryState state, TargetDescription target, long now) {
		TargetState targetState = state.targetStates().state(target.name());
		return new EntryStatus.TargetStatus(target.name(), target.dataCentre(),
				state.coordinator().incarnation(target.name()).isPresent(), targetState.isDraining(),
				!targetState.health().isUsable(now), targetState.inFlight(), targetState.reportAgeMillis(now),
				targetState.report());
	}

	private void registerMetrics(CallCounters counters) {
		this.context.gauge("laneworks_calls_opened", counters.opened()::sum);
		this.context.gauge("laneworks_calls_finished", counters.finished()::sum);
		this.context.gauge("laneworks_calls_refused", counters.refused()::sum);
		this.context.gauge("laneworks_retries", counters.retried()::sum);
		this.context.gauge("laneworks_tokens_delivered", counters.delivered()::sum);
		this.context.gauge("laneworks_stray_messages", counters.droppedMessages()::sum);
		this.context.gauge("laneworks_reattached", counters.reattached()::sum);
	}

	private Map<String, InetSocketAddress> seeds() {
		Map<String, InetSocketAddress> seeds = new HashMap<>();
		for (InetSocketAddress seed : this.settings.seeds()) {
			seeds.put(TargetLinks.SEED_PREFIX + seed.getHostString() + ':' + seed.getPort(), seed);
		}
		return seeds;
	}

}
