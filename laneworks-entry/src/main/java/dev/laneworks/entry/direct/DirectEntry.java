package dev.laneworks.entry.direct;

import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.backpressure.ProportionalShare;
import dev.laneworks.core.backpressure.TargetBackpressure;
import dev.laneworks.core.backpressure.TargetRateLimits;
import dev.laneworks.core.budget.EntryCount;
import dev.laneworks.core.budget.SharedRetryBudget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.dispatch.ColdTargets;
import dev.laneworks.core.dispatch.DispatchSettings;
import dev.laneworks.core.dispatch.Dispatcher;
import dev.laneworks.core.dispatch.Eligibility;
import dev.laneworks.core.dispatch.SendGuard;
import dev.laneworks.core.dispatch.TargetChooser;
import dev.laneworks.core.dispatch.TargetEstimates;
import dev.laneworks.core.gossip.RetryBudgetUsage;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.serving.AccountGrant;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.shares.AccountOveruse;
import dev.laneworks.core.shares.AccountShares;
import dev.laneworks.core.time.Timers;
import dev.laneworks.core.waiting.GenerationQueues;
import dev.laneworks.core.waiting.WaitingSettings;
import dev.laneworks.entry.caller.CallLatencyMetrics;
import dev.laneworks.runtime.audit.AuditTrail;
import dev.laneworks.runtime.http.AsyncHttpClient;
import dev.laneworks.runtime.http.DefaultBackgroundExecutor;
import dev.laneworks.runtime.http.IoWorker;
import dev.laneworks.runtime.log.LogLine;
import dev.laneworks.runtime.operator.OperatorServer;
import dev.laneworks.runtime.program.BuildInfo;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.MonotonicClock;
import io.undertow.Handlers;
import io.vavr.control.Either;
import org.xnio.XnioIoThread;

/**
 * Entry process that sends callers' requests straight to targets, without sidecars.
 * <p>
 * Connections and dispatch decisions share one I/O thread; logging and metric scrapes run
 * on threads of their own.
 *
 * @since 0.2
 */
public final class DirectEntry {

	/** Number of audit events kept in memory for operators. */
	private static final int AUDIT_CAPACITY = 2_000;

	/**
	 * Interval of the polls for the first plan, the end of a pause and the end of all
	 * calls.
	 */
	private static final long POLL_INTERVAL_MILLIS = 10;

	/** Longest time for which an exit waits for threads that serve sockets. */
	private static final long THREAD_STOP_TIMEOUT_MILLIS = 100;

	/** Interval at which this entry's share of the retry budget is updated. */
	private static final long RETRY_SHARE_INTERVAL_MILLIS = 500;

	/**
	 * Time that a start gives the store before it requests a snapshot from other entries;
	 * longer than a healthy store needs to answer.
	 */
	private static final long PEER_FALLBACK_DELAY_MILLIS = 300;

	private final DirectSettings settings;

	/**
	 * The settings as last reloaded; only the retry bounds apply without a restart. Used
	 * on the I/O thread alone.
	 */
	private DirectSettings activeSettings;

	private final IoWorker io = IoWorker.start(1, 1);

	private final AuditTrail audit = new AuditTrail(AUDIT_CAPACITY, EnumSet.noneOf(AuditKind.class));

	private final MetricRegistry metrics = new MetricRegistry();

	/**
	 * Released once requests are read or never will be; components that callers do not
	 * need start after it.
	 */
	private final CountDownLatch opened = new CountDownLatch(1);

	private final CountDownLatch ended = new CountDownLatch(1);

	private final EventLoop loop;

	private final TargetDirectory directory;

	private final TargetEstimates estimates;

	private final SharedRetryBudget retryBudget;

	private final PeerEntries peers;

	private final ColdTargets cold;

	private final TargetBackpressure backpressure;

	private final SuspectTracking suspects;

	private final GenerationQueues queues;

	private final TargetChooser chooser;

	private final Dispatcher dispatcher;

	private final SpeedMetrics speedMetrics = new SpeedMetrics();

	private final AccountShares shares;

	private final AccountGauges accountGauges = new AccountGauges(this.metrics);

	private final StoreView store;

	private final SnapshotTransfer snapshots;

	private final EngineDrainingQuery drainingQuery;

	private final Optional<IngressGate> ingress;

	private final DirectServer callers;

	private final ReadinessServer readiness;

	private final ResumeGate resumeGate;

	/** The suspended time that was already audited; used on the I/O thread alone. */
	private long reportedSuspendedMillis;

	/**
	 * The number of entries, which falls by one per update so that a brief absence has no
	 * effect; used on the I/O thread alone.
	 */
	private int recentEntryCount = 1;

	/**
	 * The entries that the retry budget is divided among; used on the I/O thread alone.
	 */
	private final EntryCount sharingEntries = new EntryCount();

	/** Whether requests are read; used on the I/O thread alone. */
	private boolean open;

	private volatile boolean ready;

	private volatile Optional<InetSocketAddress> operatorsAddress = Optional.empty();

	/** The gauge values as last collected on the I/O thread. */
	private volatile EntryGauges gauges = EntryGauges.NONE;

	private final GracefulShutdown shutdown;

	/**
	 * Create an entry; {@link #run()} starts it.
	 * @param settings the entry's settings
	 * @param platform the factory of the adapter to the platform that the entry runs on
	 */
	public DirectEntry(DirectSettings settings, PlatformAdapter.Factory platform) {
		this(settings, platform, MonotonicClock::millis);
	}

	/**
	 * Create an entry with a given clock.
	 * @param settings the entry's settings
	 * @param platform the factory of the adapter to the platform that the entry runs on
	 * @param clock the monotonic time in milliseconds, which includes the time in which
	 * the process or its machine is suspended
	 */
	public DirectEntry(DirectSettings settings, PlatformAdapter.Factory platform, LongSupplier clock) {
		this.settings = settings;
		this.activeSettings = settings;
		this.shutdown = new GracefulShutdown(settings.acceptAllMillis(), settings.graceMillis());
		SplittableRandom random = new SplittableRandom(ThreadLocalRandom.current().nextLong());
		this.estimates = new TargetEstimates(this::peerWork, random);
		this.estimates.onUnreachable((t) -> this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, t.id(), t.id(),
				"suspected unreachable: connections refused, own " + this.estimates.of(t).refused())));
		XnioIoThread thread = this.io.worker().getIoThread();
		Timers timers = new Timers();
		this.loop = new EventLoop(thread, timers, clock);
		AsyncHttpClient http = new AsyncHttpClient(this.io.worker(), this.io.buffers());
		PlatformAdapter adapter = platform.create(settings, http, thread);
		DirectCalls calls = new DirectCalls(this.loop, http, adapter.headers(), adapter.engines(), this::healthPath,
				new CallLatencyMetrics(this.metrics));
		this.retryBudget = new SharedRetryBudget(settings.retryWindowMillis(), this.loop.now(), this.audit);
		this.peers = new PeerEntries(settings, this.estimates, this.retryBudget, this.loop, random, this.audit);
		this.cold = new ColdTargets(settings.coldBound(), this.peers, this::coldPerSecond, this.audit);
		this.suspects = new SuspectTracking(this.peers, this.loop, random, this.audit);
		TargetRateLimits limits = new TargetRateLimits(
				new ProportionalShare(() -> this.recentEntryCount, this::ownRequests, this::peerRequests),
				this.peers::phase);
		this.backpressure = new TargetBackpressure(limits, this.peers::announceSignals, this.audit);
		MembershipEvents members = new MembershipEvents(this.estimates, this.cold, this.backpressure, this.loop,
				this.audit);
		this.store = new StoreView(adapter.source(), settings.follow(), members, members, this::use, this.peers.watch(),
				timers, random, new DefaultBackgroundExecutor(thread), this.audit);
		this.directory = this.store.directory();
		this.resumeGate = new ResumeGate(this.store.follower()::ageMillis);
		Eligibility eligibility = new Eligibility(this.directory, this.estimates, this.cold, this.backpressure,
				settings.regions());
		this.peers.shareSignals(this.backpressure, this.directory::isCurrentIncarnation);
		this.chooser = new TargetChooser(eligibility, this.estimates, settings.dataCentre(), this.peers::silentMillis,
				random, settings.mechanisms());
		this.shares = new AccountShares(this.peers::demandOfOthers, this::accountWeight,
				(s) -> engineMemoryTokens(s, eligibility));
		boolean sharesMemory = settings.waiting().filter(WaitingSettings::accountShares).isPresent();
		this.queues = new GenerationQueues(settings.waiting(), this::startLimit,
				sharesMemory ? this.shares : AccountOveruse.NONE, this.peers, random);
		this.dispatcher = new Dispatcher(DispatchSettings.defaults(settings.mechanisms()), this.directory,
				this.estimates, eligibility,
				new SendGuard(eligibility, this.store.follower(), this.resumeGate::isClosed, settings.drainMillis()),
				this.chooser, this.peers, this.peers, this.queues, this.suspects.requests(), this.suspects.parts(),
				this.retryBudget, timers, calls, this.audit);
		this.peers.useDemand(() -> this.queues.demand(this.loop.now()));
		if (sharesMemory) {
			this.queues.onQueueChange(this.shares);
			this.dispatcher.onReservation(this.shares);
			this.peers.useDemand(() -> this.shares.addAccounts(this.queues.demand(this.loop.now()), this.loop.now()));
		}
		calls.use(this.dispatcher);
		this.suspects.use(this.dispatcher);
		members.use(this.dispatcher, this.store);
		this.snapshots = new SnapshotTransfer(this.store.follower(), this.peers::snapshotSources,
				this.peers::requestSnapshot, timers, this.loop::now, random, this.audit);
		this.peers.useSnapshotTransfer(this.snapshots);
		this.drainingQuery = new EngineDrainingQuery(this.store, this.peers, this.estimates, adapter.engines(),
				this.loop, this.audit);
		this.peers.onStoreUpdate((u) -> this.store.follower().updateReceived(u, this.loop.now()));
		this.loop.onPause(this::paused);
		this.loop.onLateness(this::late);
		this.ingress = IngressGate.create(settings.maxDelayShare(), this.loop, calls::load, this.metrics);
		this.callers = new DirectServer(this.io, settings.callers(), calls, adapter.headers(), this.store,
				this.shutdown, (r) -> this.ingress.flatMap((g) -> g.refuse(r)), this.loop, this.resumeGate::isClosed,
				random, this.audit);
		this.readiness = new ReadinessServer(this.io, settings.readiness(), adapter.source()::readinessPaths,
				this::isReady);
		registerMetrics();
	}

	/**
	 * Run until the graceful shutdown is complete.
	 * @return the exit code of the process
	 */
	public ExitCode run() {
		// Listener and plan are started first, since callers depend on them.
		this.callers.listen();
		this.loop.run(() -> this.store.follower().start(this.loop.now()));
		this.readiness.start();
		this.ingress.ifPresent((g) -> this.loop.run(g::start));
		LogLine.of("started")
			.with("address", this.settings.callers().toString())
			.with("build", BuildInfo.current().describe())
			.info();
		this.loop.run(() -> pollPlan(this.loop.now()));
		this.loop.run(this::updateRetryShare);
		if (!awaitPlan()) {
			return ExitCode.FAILED;
		}
		if (this.ended.getCount() > 0) {
			startServices();
		}
		if (!await(this.ended)) {
			return ExitCode.FAILED;
		}
		stopThreads();
		LogLine.of("ended").info();
		return ExitCode.OK;
	}

	// Start what callers do not depend on.
	private void startServices() {
		OperatorServer operators = new OperatorServer(this.io.worker(), this.settings.operators(), this.metrics,
				this.audit, this::isReady, this::status, Handlers.routing());
		operators.start();
		this.operatorsAddress = Optional.of(operators.address());
		this.peers.listen(this.settings.gossipAddress());
		this.loop.run(() -> this.peers.start(this.loop.now()));
		this.loop.run(() -> this.snapshots.start(this.loop.now()));
		this.loop.run(() -> this.suspects.start(this.loop.now()));
		if (this.settings.mechanisms().isEnabled(Mechanism.LEAVING_INQUIRY)) {
			this.loop.run(() -> this.drainingQuery.start(this.loop.now()));
		}
		MonotonicClock.includeSuspensions();
	}

	/**
	 * Start the graceful shutdown: fail the readiness check, finish the calls in
	 * progress, close all connections, then end {@link #run()}. Further calls have no
	 * effect.
	 */
	public void stop() {
		if (!this.shutdown.request(this.loop.now(), this.loop.earliestEventTime())) {
			return;
		}
		this.loop.run(() -> {
			long now = this.loop.now();
			this.audit.record(AuditEvent.of(AuditKind.LEAVING, this.settings.instance(), "",
					"graceful shutdown with " + this.dispatcher.openCalls()
							+ " open calls; the signal may have been sent up to " + this.shutdown.maxSignalAgeMillis()
							+ " ms earlier"));
			pollShutdown(now);
		});
	}

	// A virtual machine that exits waits for threads in native code, which those that
	// serve sockets nearly always are.
	private void stopThreads() {
		this.peers.close();
		this.io.stop(THREAD_STOP_TIMEOUT_MILLIS);
	}

	/**
	 * Apply reloaded settings. The retry bounds take effect at once; addresses, the store
	 * and all other settings need a restart.
	 * @param parsed the settings, or the error that they were rejected for
	 */
	public void reload(Either<String, DirectSettings> parsed) {
		if (parsed.isLeft()) {
			LogLine.of("reload").with("outcome", "refused").with("cause", parsed.getLeft()).warn();
			return;
		}
		DirectSettings reloaded = parsed.get();
		this.loop.run(() -> this.activeSettings = reloaded);
		boolean isFullyApplied = reloaded.equalsExceptRetryBounds(this.settings);
		LogLine.of("reload")
			.with("outcome", isFullyApplied ? "taken" : "in part: other changed settings need a restart")
			.info();
	}

	/**
	 * Return the address that callers connect to.
	 * @return the bound address
	 */
	public InetSocketAddress callersAddress() {
		return this.callers.address();
	}

	/**
	 * Return the address that operators and metric scrapers connect to.
	 * @return the bound address, or empty before the port is open
	 */
	public Optional<InetSocketAddress> operatorsAddress() {
		return this.operatorsAddress;
	}

	/**
	 * Determine whether the process accepts requests.
	 * @return {@code true} from the first complete plan until a shutdown is requested
	 */
	public boolean isReady() {
		return this.ready && !this.shutdown.isRequested();
	}

	private static boolean await(CountDownLatch latch) {
		try {
			latch.await();
			return true;
		}
		catch (InterruptedException ex) {
			return interrupted();
		}
	}

	// Wait for the store alone at first, then for the store or a snapshot of another
	// entry, whichever arrives first.
	private boolean awaitPlan() {
		try {
			if (!this.opened.await(PEER_FALLBACK_DELAY_MILLIS, TimeUnit.MILLISECONDS)) {
				this.peers.listen(this.settings.gossipAddress());
				this.loop.run(() -> this.snapshots.start(this.loop.now()));
				this.opened.await();
			}
			return true;
		}
		catch (InterruptedException ex) {
			return interrupted();
		}
	}

	private static boolean interrupted() {
		Thread.currentThread().interrupt();
		LogLine.of("interrupted").warn();
		return false;
	}

	// Due timers run after this method and before the input that ended the pause.
	private void paused(long millis, long now) {
		long suspended = MonotonicClock.suspendedMillis() - this.reportedSuspendedMillis;
		this.reportedSuspendedMillis += suspended;
		this.store.follower().recordLateness(now - millis, now);
		boolean wasGateClosed = this.resumeGate.isClosed(now);
		boolean isGateClosed = this.resumeGate.paused(millis, now);
		this.dispatcher.headroom().recordPause(millis, now);
		this.audit.record(AuditEvent.of(AuditKind.PAUSED, this.settings.instance(), "",
				"process paused for " + millis + " ms, the machine suspended for " + suspended + " ms of them; "
						+ this.dispatcher.openCalls() + " open calls"
						+ (isGateClosed ? "; requests wait until the store answers" : "")));
		if (isGateClosed && !wasGateClosed) {
			this.store.follower().processResumed(now);
			pollResumeGate(now);
		}
	}

	private void late(long due, long now) {
		long lateMillis = this.store.follower().recordLateness(due, now);
		if (this.resumeGate.late(lateMillis, now)) {
			this.audit.record(AuditEvent.of(AuditKind.PAUSED, this.settings.instance(), "",
					"late by " + lateMillis + " ms since the last contact with the store; "
							+ this.dispatcher.openCalls() + " open calls; requests wait until the store answers"));
			this.store.follower().processDelayed(now);
			pollResumeGate(now);
		}
	}

	private void pollResumeGate(long now) {
		if (this.resumeGate.isClosed(now)) {
			this.loop.timers().schedule(now + POLL_INTERVAL_MILLIS, this::pollResumeGate);
			return;
		}
		this.callers.releaseDeferred();
	}

	// A larger number of entries reduces the share at once; a smaller one raises it
	// gradually.
	private void updateRetryShare() {
		MonotonicClock.detectSuspension();
		this.gauges = collectGauges(this.loop.now());
		this.speedMetrics.collect(this.estimates, this.dispatcher, this.chooser, this.loop.now());
		this.recentEntryCount = Math.max(this.peers.count() + 1, this.recentEntryCount - 1);
		int sharing = this.sharingEntries.update(this.peers.addresses(), this.loop.now());
		this.retryBudget.setLimits(this.activeSettings.retryRatio(), this.activeSettings.ownRetryExtra(sharing));
		this.loop.timers().schedule(this.loop.now() + RETRY_SHARE_INTERVAL_MILLIS, (t) -> updateRetryShare());
	}

	private EntryGauges collectGauges(long now) {
		this.accountGauges.update(this.shares.shares(AccountGauges.MAX_ACCOUNTS, now));
		return new EntryGauges(this.estimates.countUnreachable(now), this.cold.count(now),
				this.backpressure.limitCount(), this.backpressure.backoffCount(now),
				this.suspects.requests().quarantined(now), this.suspects.parts().quarantined(),
				this.store.evacuations().count(), this.store.published().plan().map(ServingPlan::version).orElse(-1L),
				this.store.follower().behindMillis(now), this.dispatcher.headroom().lowestLimit(now),
				this.dispatcher.headroom().largestDisplacedShare(now), this.queues.refused(),
				this.callers.connections(), this.callers.unanswered(),
				WaitingGauge.of(this.queues.countByPriority(), now));
	}

	// Requests that arrive during the start stay unread until the plan is active, since
	// callers retry at most once. The wait is bounded, so that callers do not time out.
	private void pollPlan(long startedAt) {
		long now = this.loop.now();
		boolean isComplete = this.store.published().isComplete();
		if (!this.open && (isComplete || now - startedAt >= this.settings.maxStartWaitMillis())) {
			this.open = true;
			this.callers.open();
			this.opened.countDown();
		}
		if (isComplete) {
			this.snapshots.stop();
			this.ready = true;
			LogLine.of("ready").with("targets", this.directory.size()).info();
			return;
		}
		this.loop.timers().schedule(now + POLL_INTERVAL_MILLIS, (t) -> pollPlan(startedAt));
	}

	private double startLimit(String service, int priority, long now) {
		return this.dispatcher.headroom().maxUtilization(service, priority, now);
	}

	// A step that throws must not prevent the end.
	private void pollShutdown(long now) {
		try {
			this.dispatcher.refuseUnfinishable((r) -> this.shutdown.isTimeSufficient(r.route(), r.size(), now), now);
			this.shutdown.poll(new StoppingWork(), now);
		}
		finally {
			if (this.shutdown.isEnded()) {
				end();
			}
			else {
				this.loop.timers().schedule(now + POLL_INTERVAL_MILLIS, this::pollShutdown);
			}
		}
	}

	private void end() {
		this.loop.stop(() -> {
			this.ended.countDown();
			this.opened.countDown();
		});
		this.store.follower().stop();
	}

	private Optional<WorkAtTarget> peerWork(TargetIncarnation target) {
		return this.peers.workAt(target);
	}

	private OptionalLong ownRequests(String service, long now) {
		return this.retryBudget.usage(now)
			.stream()
			.filter((s) -> s.service().equals(service))
			.mapToLong(RetryBudgetUsage::requests)
			.findFirst();
	}

	private OptionalLong peerRequests(String service, long now) {
		return this.peers.budgetUsage(service, this.settings.retryWindowMillis(), now)
			.stream()
			.mapToLong(RetryBudgetUsage::requests)
			.findFirst();
	}

	private double coldPerSecond(String service) {
		return this.store.published()
			.plan()
			.flatMap((p) -> p.findService(service))
			.map(ServiceSpec::coldRequestsPerSecond)
			.orElse(0.0);
	}

	private String healthPath(String service) {
		return this.store.published()
			.plan()
			.flatMap((p) -> p.findService(service))
			.map(ServiceSpec::healthPath)
			.orElse(ServiceSpec.DEFAULT_HEALTH_PATH);
	}

	private double accountWeight(String account) {
		return this.store.published().plan().map((p) -> p.accountWeight(account)).orElse(AccountGrant.DEFAULT_WEIGHT);
	}

	private long engineMemoryTokens(String service, Eligibility eligibility) {
		return this.store.published()
			.plan()
			.flatMap((p) -> p.findService(service))
			.flatMap(ServiceSpec::engine)
			.map((e) -> (long) ((double) e.memoryTokens() * eligibility.acceptingTargets(service).size()))
			.orElse(0L);
	}

	private void use(ServingPlan activePlan) {
		this.dispatcher.applyPlan(activePlan);
	}

	private Object status() {
		return Map.of("instance", this.settings.instance(), "ready", isReady(), "openCalls",
				this.dispatcher.openCalls(), "planVersion",
				this.store.published().plan().map((p) -> Long.toString(p.version())).orElse("none"), "targets",
				this.directory.size(), "slowestTargets", this.speedMetrics.slowest());
	}

	private void registerMetrics() {
		this.metrics.register("laneworks_open_calls", (Gauge<Integer>) this.dispatcher::openCalls);
		this.metrics.register("laneworks_targets", (Gauge<Integer>) this.directory::size);
		this.metrics.register("laneworks_suspended_millis", (Gauge<Long>) MonotonicClock::suspendedMillis);
		this.metrics.register("laneworks_targets_lapsed", (Gauge<Integer>) this.directory::expiredCount);
		this.metrics.register("laneworks_targets_doubted", (Gauge<Long>) () -> this.gauges.suspectedTargets());
		this.metrics.register("laneworks_targets_limited", (Gauge<Integer>) () -> this.gauges.rateLimitedTargets());
		this.metrics.register("laneworks_store_behind_millis", (Gauge<Long>) () -> this.gauges.storeBehindMillis());
		this.metrics.register("laneworks_targets_resting", (Gauge<Integer>) () -> this.gauges.targetsInBackoff());
		this.metrics.register("laneworks_targets_cold", (Gauge<Long>) () -> this.gauges.coldTargets());
		this.metrics.register("laneworks_requests_quarantined", (Gauge<Long>) () -> this.gauges.quarantinedRequests());
		this.metrics.register("laneworks_prompt_parts_quarantined", (Gauge<Long>) () -> this.gauges.quarantinedParts());
		this.metrics.register("laneworks_data_centres_evacuated",
				(Gauge<Integer>) () -> this.gauges.evacuatedDataCentres());
		this.metrics.register("laneworks_start_limit", (Gauge<Double>) () -> this.gauges.startLimit());
		this.metrics.register("laneworks_displaced_share", (Gauge<Double>) () -> this.gauges.displacedShare());
		this.metrics.register("laneworks_store_histories", (Gauge<Integer>) this.store.published()::restoreCount);
		this.metrics.register("laneworks_items_refused", (Gauge<Integer>) this.store.published()::refusedItems);
		this.metrics.register("laneworks_plan_version", (Gauge<Long>) () -> this.gauges.planVersion());
		this.metrics.register("laneworks_peers", (Gauge<Integer>) this.peers::count);
		this.metrics.register("laneworks_caller_connections", (Gauge<Integer>) () -> this.gauges.callerConnections());
		this.metrics.register("laneworks_requests_unanswered", (Gauge<Integer>) () -> this.gauges.unanswered());
		this.metrics.register("laneworks_callers_left_before_read", (Gauge<Long>) this.callers::unreadRequests);
		this.metrics.register("laneworks_callers_left_before_send",
				(Gauge<Long>) this.dispatcher.disconnectedCalls()::notSent);
		this.metrics.register("laneworks_callers_left_after_send",
				(Gauge<Long>) this.dispatcher.disconnectedCalls()::atTarget);
		this.metrics.register("laneworks_retries_allowed", (Gauge<Long>) this.retryBudget::spent);
		this.metrics.register("laneworks_retries_lent", (Gauge<Double>) this.retryBudget::lent);
		this.metrics.register("laneworks_retries_borrowed", (Gauge<Double>) this.retryBudget::borrowed);
		this.metrics.register("laneworks_retries_denied", (Gauge<Long>) this.retryBudget::denied);
		this.metrics.register("laneworks_queue_refused", (Gauge<Long>) () -> this.gauges.refusedFromQueue());
		WaitingGauge.register(this.metrics, () -> this.gauges.waiting());
		this.speedMetrics.register(this.metrics);
		for (AuditKind kind : AuditKind.values()) {
			this.metrics.counter(counterName(kind));
		}
		this.audit.addListener((r) -> this.metrics.counter(counterName(r.event().kind())).inc());
	}

	private static String counterName(AuditKind kind) {
		return "laneworks_decisions_" + kind.label().replace('-', '_');
	}

	/** What a stop ends, in the order of {@link GracefulShutdown}. */
	private final class StoppingWork implements GracefulShutdown.Work {

		@Override
		public boolean isReading() {
			return DirectEntry.this.open;
		}

		@Override
		public int unanswered() {
			return Math.max(DirectEntry.this.dispatcher.openCalls(), DirectEntry.this.callers.unanswered());
		}

		@Override
		public void stopReading(String cause) {
			LogLine.of("ending")
				.with("cause", cause)
				.with("openCalls", DirectEntry.this.dispatcher.openCalls())
				.with("unanswered", DirectEntry.this.callers.unanswered())
				.with("connections", DirectEntry.this.callers.connections())
				.info();
			DirectEntry.this.callers.stopReading();
			DirectEntry.this.peers.shutDown(DirectEntry.this.loop.now());
		}

		@Override
		public void endCalls(long now) {
			DirectEntry.this.callers.rejectIncomplete();
			DirectEntry.this.dispatcher.endAll(now);
		}

		@Override
		public void closeIdleConnections() {
			DirectEntry.this.callers.closeIdleConnections();
		}

		@Override
		public void closeConnections() {
			DirectEntry.this.callers.closeConnections();
		}

	}

}
