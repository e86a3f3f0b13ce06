package dev.laneworks.sidecar;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import dev.laneworks.core.admission.LearnedLengthModel;
import dev.laneworks.core.configuration.ConfigurationHolder;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.configuration.TargetDescription;
import dev.laneworks.core.host.GenerationHost;
import dev.laneworks.core.host.HostCounters;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.once.ViewHistory;
import dev.laneworks.core.peer.ConfigurationKeeper;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.runtime.duty.Duty;
import dev.laneworks.runtime.log.LogLine;
import dev.laneworks.runtime.operator.OperatorServer;
import dev.laneworks.runtime.platform.HttpLiveList;
import dev.laneworks.runtime.platform.LiveInstance;
import dev.laneworks.runtime.program.BuildInfo;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.MonotonicClock;
import dev.laneworks.runtime.program.ProcessContext;
import dev.laneworks.sidecar.target.HttpTargetClient;
import dev.laneworks.wire.Link;
import dev.laneworks.wire.LinkServer;
import dev.laneworks.wire.LinkSettings;
import dev.laneworks.wire.PeerIdentity;
import dev.laneworks.wire.TargetLinks;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.undertow.Handlers;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;

/**
 * One running sidecar with its threads, its links to entries and its target.
 * <p>
 * The generation host runs on one duty thread, links on one event loop, HTTP on the I/O
 * threads of one worker, and logging on a thread of its own.
 *
 * @since 0.1
 */
public final class Sidecar {

	private static final int RING_CAPACITY = 16_384;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(10);

	private static final long PEER_CONFIRMATION_MAX_AGE_MILLIS = 30_000;

	private static final long MIN_LIST_POLL_INTERVAL_MILLIS = 3_000;

	/**
	 * Limit on the load that all sidecars together put on the live list.
	 */
	private static final int MAX_LIST_CALLS_PER_SECOND = 100;

	private final SidecarSettings settings;

	private final ProcessContext context;

	private final long incarnation = IncarnationSource.next();

	private final Map<Long, Link> links = new HashMap<>();

	private final SplittableRandom random = new SplittableRandom();

	private volatile boolean stopping;

	private volatile boolean ready;

	private volatile int targetCount;

	private Duty<SidecarState> duty;

	private TargetLinks otherSidecars;

	/**
	 * Create a sidecar that {@link #run()} starts.
	 * @param settings the settings of the process
	 */
	public Sidecar(SidecarSettings settings) {
		this.settings = settings;
		this.context = new ProcessContext("sidecar", settings.common(), 1);
	}

	/**
	 * Start the sidecar and wait until its graceful shutdown is complete.
	 * @return the exit code of the process
	 */
	public ExitCode run() {
		MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.duty = new Duty<>("host", createState(eventLoops.next()), RING_CAPACITY, TICK_INTERVAL, this::tick);
		this.context.supervisor().start(this.duty);
		LinkServer server = new LinkServer(eventLoops, this.settings.address(), identity(), LinkSettings.defaults(),
				new EntryLinkListener(this.duty));
		OperatorServer operators = new OperatorServer(this.context.io().worker(),
				this.settings.common().operatorAddress(), this.context.metrics(), this.context.audit(),
				() -> this.ready, () -> ProcessContext.query(this.duty, this::status), operatorRoutes());
		operators.start();
		pollLiveList();
		LogLine.of("started")
			.with("address", this.settings.address().toString())
			.with("target", this.settings.target().toString())
			.with("incarnation", Long.toHexString(this.incarnation))
			.with("build", BuildInfo.current().describe())
			.info();
		ExitCode code = this.context.awaitEnd();
		operators.stop();
		server.close();
		this.otherSidecars.close();
		this.context.supervisor().stop();
		eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		return code;
	}

	/**
	 * Start a graceful shutdown: drain the target, then end.
	 * @param cause the reason, for the log
	 */
	public void stop(String cause) {
		this.stopping = true;
		this.duty.put((s) -> s.leave(cause));
		this.context.scheduleEnd(this.settings.drainLimit());
	}

	private SidecarState createState(EventLoop loop) {
		long now = MonotonicClock.millis();
		String target = this.settings.common().instance();
		ConfigurationHolder holder = new ConfigurationHolder();
		ViewHistory views = new ViewHistory();
		HttpTargetClient client = new HttpTargetClient(this.context.caller(), this.settings.target(),
				new HostTargetEvents((c) -> this.duty.put(c)));
		this.otherSidecars = new TargetLinks(loop, identity(), LinkSettings.defaults(), this.random,
				new FormerHomeListener((c) -> this.duty.put(c)));
		SidecarOutputs outputs = new SidecarOutputs(this.links, client, this.otherSidecars);
		KeyGuard guard = new KeyGuard(target, this.incarnation, now, views);
		GenerationHost host = new GenerationHost(target, this.incarnation, this.settings.host(), guard, holder,
				new LearnedLengthModel(this.settings.host().lengthHalfLife(), LearnedLengthModel.DEFAULT_MAX_CLASSES),
				outputs, this.context.audit(), now);
		Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(5), this.random);
		ConfigurationKeeper keeper = new ConfigurationKeeper(holder, this.context.configurationService(), backoff,
				PEER_CONFIRMATION_MAX_AGE_MILLIS, (t) -> this.duty.put((s) -> t.accept(MonotonicClock.millis())),
				this::applyConfiguration, this.context.audit());
		registerMetrics(host.counters());
		return new SidecarState(target, views, this.links, host, keeper, outputs);
	}

	private void applyConfiguration(FleetConfiguration configuration) {
		this.ready = true;
		this.targetCount = configuration.targets().size();
		Map<String, InetSocketAddress> addresses = new HashMap<>();
		for (TargetDescription target : configuration.targets()) {
			addresses.put(target.name(), new InetSocketAddress(target.host(), target.port()));
		}
		this.otherSidecars.setTargets(addresses, Set.of());
		this.duty.put((s) -> s.applyConfiguration(configuration));
	}

	private void tick(SidecarState state) {
		state.tick();
		if (this.stopping && !this.context.isEndRequested() && state.host().isIdle(MonotonicClock.millis())) {
			state.sendFarewell();
			this.context.requestEnd(ExitCode.OK);
		}
	}

	private void pollLiveList() {
		HttpLiveList list = new HttpLiveList(this.context.caller(), this.settings.common().platform());
		pollLiveList(list, MIN_LIST_POLL_INTERVAL_MILLIS);
	}

	private void pollLiveList(HttpLiveList list, long delayMillis) {
		this.context.io()
			.worker()
			.getIoThread()
			.executeAfter(() -> list.read(this.settings.common().instance(), (r) -> {
				List<LiveInstance> instances = r.getOrElse(List.of());
				boolean leaving = instances.stream()
					.anyMatch((i) -> i.leaving() && i.name().equals(this.settings.common().instance()));
				if (leaving) {
					this.duty.put((s) -> s.leave("the live list reports the instance as leaving"));
				}
				long nextDelayMillis = Math.max(MIN_LIST_POLL_INTERVAL_MILLIS,
						this.targetCount * 1000L / MAX_LIST_CALLS_PER_SECOND);
				pollLiveList(list, nextDelayMillis);
			}), delayMillis, TimeUnit.MILLISECONDS);
	}

	private RoutingHandler operatorRoutes() {
		return Handlers.routing().post("/leave", (HttpServerExchange e) -> {
			this.duty.put((s) -> s.leave("requested by an operator"));
			e.getResponseSender().send("leaving\n");
		});
	}

	private Object status(SidecarState state) {
		long now = MonotonicClock.millis();
		ConfigurationHolder holder = state.keeper().configurationHolder();
		return new SidecarStatus(this.settings.common().instance(), this.settings.common().dataCentre(),
				Long.toHexString(this.incarnation), holder.version(), holder.digest(),
				SidecarStatus.age(holder.confirmedAgeMillis(now)), state.keeper().lastRefusal(),
				state.keeper().serviceCalls(), state.linkCount(), state.host().load(), state.host().status());
	}

	private void registerMetrics(HostCounters hostCounters) {
		this.context.gauge("laneworks_admitted", hostCounters.admitted()::sum);
		this.context.gauge("laneworks_refused", hostCounters.refused()::sum);
		this.context.gauge("laneworks_tokens", hostCounters.chunks()::sum);
		this.context.gauge("laneworks_preemptions", hostCounters.preemptions()::sum);
		this.context.gauge("laneworks_cancelled", hostCounters.cancelled()::sum);
		this.context.gauge("laneworks_duplicates_dropped", hostCounters.duplicates()::sum);
		this.context.gauge("laneworks_gaps_mended", hostCounters.gaps()::sum);
		this.context.gauge("laneworks_pauses_noticed", hostCounters.pauses()::sum);
	}

	private PeerIdentity identity() {
		return new PeerIdentity(this.settings.common().instance(), this.settings.common().dataCentre(),
				this.incarnation);
	}

}
