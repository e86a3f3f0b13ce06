package dev.laneworks.sidecar;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.laneworks.core.admission.LearnedLengthModel;
import dev.laneworks.core.configuration.ConfigurationLedger;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.configuration.TargetDescription;
import dev.laneworks.core.host.GenerationHost;
import dev.laneworks.core.host.HostCounters;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.once.ViewHistory;
import dev.laneworks.core.peer.ConfigurationKeeper;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.runtime.audit.AuditTrail;
import dev.laneworks.runtime.duty.Duty;
import dev.laneworks.runtime.duty.Supervisor;
import dev.laneworks.runtime.http.HttpCaller;
import dev.laneworks.runtime.http.IoWorker;
import dev.laneworks.runtime.log.LogLine;
import dev.laneworks.runtime.operator.OperatorServer;
import dev.laneworks.runtime.platform.HttpConfigurationService;
import dev.laneworks.runtime.platform.HttpLiveList;
import dev.laneworks.runtime.platform.LiveInstance;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.MonotonicClock;
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
 * One running sidecar: its threads, its links, its target.
 * <p>
 * The duties are: deciding, links (one event loop), HTTP (I/O threads of one worker) and
 * logging.
 *
 * @since 0.1
 */
public final class Sidecar {

	private static final int RING = 16_384;

	private static final Duration TICK = Duration.ofMillis(10);

	private static final Duration FAILURE_WINDOW = Duration.ofSeconds(10);

	private static final int MAX_FAILURES = 5;

	private static final long PEERS_SUFFICE_MILLIS = 30_000;

	private static final long LEAST_LIST_GAP_MILLIS = 3_000;

	/**
	 * The calls of all sidecars together that the live list gets each second, at most.
	 */
	private static final int LIST_CALLS_PER_SECOND = 100;

	private static final Duration STATUS_WAIT = Duration.ofSeconds(2);

	private static final Duration FLUSH = Duration.ofMillis(200);

	private final SidecarSettings settings;

	private final long incarnation = IncarnationSource.next();

	private final AuditTrail audit;

	private final MetricRegistry metrics = new MetricRegistry();

	private final CountDownLatch ended = new CountDownLatch(1);

	private final Supervisor supervisor;

	private final Map<Long, Link> links = new HashMap<>();

	private final SplittableRandom random = new SplittableRandom();

	private volatile ExitCode exitCode = ExitCode.OK;

	private volatile boolean stopping;

	private volatile boolean ready;

	private Duty<SidecarState> duty;

	private HostCounters counters;

	private TargetLinks others;

	private IoWorker io;

	/**
	 * Create a sidecar; {@link #run()} starts it.
	 * @param settings its settings
	 */
	public Sidecar(SidecarSettings settings) {
		this.settings = settings;
		this.audit = new AuditTrail(settings.common().auditCapacity());
		this.supervisor = new Supervisor("sidecar", MAX_FAILURES, FAILURE_WINDOW, (ex) -> end(ExitCode.GAVE_UP));
	}

	/**
	 * Run until the planned stop is over.
	 * @return how the process ends
	 */
	public ExitCode run() {
		this.io = IoWorker.start(1, 2);
		MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.duty = new Duty<>("host", createState(loops.next()), RING, TICK, this::tick);
		this.supervisor.start(this.duty);
		LinkServer server = new LinkServer(loops, this.settings.address(), identity(), LinkSettings.defaults(),
				new EntryLinks(this.duty));
		OperatorServer operators = new OperatorServer(this.io.worker(), this.settings.common().operatorAddress(),
				this.metrics, this.audit, () -> this.ready, () -> ask(this::status), operatorRoutes());
		operators.start();
		pollLiveList();
		LogLine.of("started")
			.with("address", this.settings.address().toString())
			.with("target", this.settings.target().toString())
			.with("incarnation", Long.toHexString(this.incarnation))
			.info();
		awaitEnd();
		operators.stop();
		server.close();
		this.others.close();
		this.supervisor.stop();
		loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		LogLine.of("ended").with("code", this.exitCode.code()).info();
		return this.exitCode;
	}

	/**
	 * Start the planned stop.
	 * @param cause why
	 */
	public void stop(String cause) {
		this.stopping = true;
		this.duty.put((s) -> s.leave(cause));
		if (!this.settings.drainLimit().isZero()) {
			this.io.worker()
				.getIoThread()
				.executeAfter(() -> end(ExitCode.OK), this.settings.drainLimit().toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private SidecarState createState(EventLoop loop) {
		long now = MonotonicClock.millis();
		String target = this.settings.common().instance();
		ConfigurationLedger ledger = new ConfigurationLedger();
		ViewHistory views = new ViewHistory();
		HttpCaller caller = new HttpCaller(this.io.worker(), this.io.buffers());
		HttpTargetClient client = new HttpTargetClient(caller, this.settings.target(),
				new HostTargetEvents((c) -> this.duty.put(c)));
		this.others = new TargetLinks(loop, identity(), LinkSettings.defaults(), this.random,
				new FormerHomes((c) -> this.duty.put(c)));
		SidecarOutputs outputs = new SidecarOutputs(this.links, client, this.others);
		KeyGuard guard = new KeyGuard(target, this.incarnation, now, views);
		GenerationHost host = new GenerationHost(target, this.incarnation, this.settings.host(), guard, ledger,
				new LearnedLengthModel(this.settings.host().lengthHalfLife(), LearnedLengthModel.DEFAULT_MAX_CLASSES),
				outputs, this.audit, now);
		HttpConfigurationService service = new HttpConfigurationService(caller, this.io.worker().getIoThread(),
				this.settings.common().platform(), this.settings.common().watchWait());
		Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(5), this.random);
		ConfigurationKeeper keeper = new ConfigurationKeeper(ledger, service, backoff, PEERS_SUFFICE_MILLIS,
				(t) -> this.duty.put((s) -> t.accept(MonotonicClock.millis())), this::inForce, this.audit);
		this.counters = host.counters();
		registerMetrics(host.counters());
		return new SidecarState(target, views, this.links, host, keeper, outputs);
	}

	private void inForce(FleetConfiguration configuration) {
		this.ready = true;
		Map<String, InetSocketAddress> addresses = new HashMap<>();
		for (TargetDescription target : configuration.targets()) {
			addresses.put(target.name(), new InetSocketAddress(target.host(), target.port()));
		}
		this.others.use(addresses, Set.of());
		this.duty.put((s) -> s.inForce(configuration));
	}

	private void tick(SidecarState state) {
		state.tick();
		if (this.stopping && this.ended.getCount() > 0 && state.host().isIdle(MonotonicClock.millis())) {
			state.farewell();
			end(ExitCode.OK);
		}
	}

	private void pollLiveList() {
		HttpCaller caller = new HttpCaller(this.io.worker(), this.io.buffers());
		HttpLiveList list = new HttpLiveList(caller, this.settings.common().platform());
		pollLiveList(list, LEAST_LIST_GAP_MILLIS);
	}

	private void pollLiveList(HttpLiveList list, long gapMillis) {
		this.io.worker().getIoThread().executeAfter(() -> list.read((r) -> {
			List<LiveInstance> instances = r.getOrElse(List.of());
			boolean leaving = instances.stream()
				.anyMatch((i) -> i.leaving() && i.name().equals(this.settings.common().instance()));
			if (leaving) {
				this.duty.put((s) -> s.leave("the platform's list shows it as leaving"));
			}
			long next = Math.max(LEAST_LIST_GAP_MILLIS, instances.size() * 1000L / LIST_CALLS_PER_SECOND);
			pollLiveList(list, next);
		}), gapMillis, TimeUnit.MILLISECONDS);
	}

	private RoutingHandler operatorRoutes() {
		return Handlers.routing().post("/leave", (HttpServerExchange e) -> {
			this.duty.put((s) -> s.leave("an operator asked for it"));
			e.getResponseSender().send("leaving\n");
		});
	}

	private Object status(SidecarState state) {
		long now = MonotonicClock.millis();
		ConfigurationLedger ledger = state.keeper().ledger();
		return new SidecarStatus(this.settings.common().instance(), this.settings.common().dataCentre(),
				Long.toHexString(this.incarnation), ledger.version(), ledger.digest(),
				SidecarStatus.age(ledger.confirmedAgeMillis(now)), state.keeper().lastRefusal(),
				state.keeper().serviceCalls(), state.linkCount(), state.host().load(), state.host().status());
	}

	private Object ask(Function<SidecarState, Object> question) {
		CompletableFuture<Object> answer = new CompletableFuture<>();
		this.duty.put((s) -> answer.complete(question.apply(s)));
		try {
			return answer.get(STATUS_WAIT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while asking the host", ex);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IllegalStateException("the host did not answer in time", ex);
		}
	}

	private void registerMetrics(HostCounters hostCounters) {
		gauge("laneworks_admitted", (h) -> hostCounters.admitted().sum());
		gauge("laneworks_refused", (h) -> hostCounters.refused().sum());
		gauge("laneworks_tokens", (h) -> hostCounters.tokens().sum());
		gauge("laneworks_preemptions", (h) -> hostCounters.yields().sum());
		gauge("laneworks_cancelled", (h) -> hostCounters.cancelled().sum());
		gauge("laneworks_duplicates_dropped", (h) -> hostCounters.duplicates().sum());
		gauge("laneworks_gaps_mended", (h) -> hostCounters.gaps().sum());
		gauge("laneworks_pauses_noticed", (h) -> hostCounters.pauses().sum());
	}

	private void gauge(String name, Function<HostCounters, Long> value) {
		this.metrics.register(name, (Gauge<Long>) () -> value.apply(this.counters));
	}

	private PeerIdentity identity() {
		return new PeerIdentity(this.settings.common().instance(), this.settings.common().dataCentre(),
				this.incarnation);
	}

	private void end(ExitCode code) {
		if (this.ended.getCount() > 0) {
			this.exitCode = code;
			this.ended.countDown();
		}
	}

	private void awaitEnd() {
		try {
			this.ended.await();
			// The last frames are on their way to the operating system.
			Thread.sleep(FLUSH.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
