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
import dev.laneworks.core.backpressure.RequestShare;
import dev.laneworks.core.backpressure.TargetLimits;
import dev.laneworks.core.backpressure.TargetsInNeed;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.dispatch.ColdTargets;
import dev.laneworks.core.dispatch.DispatchSettings;
import dev.laneworks.core.dispatch.Dispatcher;
import dev.laneworks.core.dispatch.Eligibility;
import dev.laneworks.core.dispatch.RetryWindow;
import dev.laneworks.core.dispatch.TargetBeliefs;
import dev.laneworks.core.dispatch.TargetChooser;
import dev.laneworks.core.gossip.ServiceSpending;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.time.Timers;
import dev.laneworks.entry.caller.CallTimes;
import dev.laneworks.runtime.audit.AuditTrail;
import dev.laneworks.runtime.http.DefaultBackgroundWork;
import dev.laneworks.runtime.http.HttpCaller;
import dev.laneworks.runtime.http.IoWorker;
import dev.laneworks.runtime.log.LogLine;
import dev.laneworks.runtime.operator.OperatorServer;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.MonotonicClock;
import io.undertow.Handlers;
import io.vavr.control.Either;
import org.xnio.XnioIoThread;

/**
 * One running entry that sends requests straight to targets: its thread, its connections,
 * its callers.
 * <p>
 * One thread carries connections and decisions; logging and scrapes have threads of their
 * own.
 *
 * @since 0.2
 */
public final class DirectEntry {

	/** How many decisions are kept for operators to look at. */
	private static final int AUDIT_CAPACITY = 2_000;

	/**
	 * How long the balancer may go on sending new connections after readiness ends, in
	 * milliseconds: it asks each second and believes the second miss.
	 */
	private static final long BALANCER_MILLIS = 3_000;

	/**
	 * How long before the end of its grace the process ends by itself, in milliseconds.
	 */
	private static final long END_EARLY_MILLIS = 250;

	/**
	 * How often it is looked whether the plan is there or calls are over, in
	 * milliseconds.
	 */
	private static final long LOOK_MILLIS = 10;

	/**
	 * How often this entry's part of the retry budget is worked out anew, in
	 * milliseconds.
	 */
	private static final long SHARE_MILLIS = 500;

	/**
	 * How long a start waits for the store before it asks other entries too, in
	 * milliseconds; longer than the store's answers and the start's own work take.
	 */
	private static final long STORE_ALONE_MILLIS = 300;

	private final DirectSettings settings;

	/**
	 * The settings that were read last, of which some have effect at once; used on the
	 * I/O thread alone.
	 */
	private DirectSettings inForce;

	private final IoWorker io = IoWorker.start(1, 1);

	private final AuditTrail audit = new AuditTrail(AUDIT_CAPACITY, EnumSet.noneOf(AuditKind.class));

	private final MetricRegistry metrics = new MetricRegistry();

	/** Open once requests are read; what callers don't need starts after it. */
	private final CountDownLatch opened = new CountDownLatch(1);

	private final CountDownLatch ended = new CountDownLatch(1);

	private final EventLoop loop;

	private final TargetDirectory directory;

	private final TargetBeliefs beliefs;

	private final RetryWindow retries;

	private final OtherEntries others;

	private final ColdTargets cold;

	private final TargetsInNeed needs;

	private final Suspicions suspicions;

	private final Dispatcher dispatcher;

	private final FollowedStore store;

	private final StateHandover handover;

	private final EngineInquiry inquiry;

	private final DirectServer callers;

	private final ReadinessServer readiness;

	private final WakeGate gate;

	/** The time of suspensions that was told already; used on the I/O thread alone. */
	private long suspendedTold;

	/**
	 * How many entries there were of late, one that was gone only for a moment included;
	 * used on the I/O thread alone.
	 */
	private int entriesOfLate = 1;

	/** Whether requests are read; used on the I/O thread alone. */
	private boolean open;

	private volatile boolean ready;

	/** What is told of the entry in gauges, as it was when it was looked last. */
	private volatile EntryFigures figures = EntryFigures.NONE;

	private final PlannedStop plannedStop;

	/**
	 * Create an entry; {@link #run()} starts it.
	 * @param settings its settings
	 * @param platform creates the translation to the platform that it runs on
	 */
	public DirectEntry(DirectSettings settings, PlatformAdapter.Factory platform) {
		this(settings, platform, MonotonicClock::millis);
	}

	/**
	 * Create an entry that decides by a clock of its own.
	 * @param settings its settings
	 * @param platform creates the translation to the platform that it runs on
	 * @param clock the time in milliseconds, which never falls and counts the time in
	 * which the process or its machine stands still
	 */
	public DirectEntry(DirectSettings settings, PlatformAdapter.Factory platform, LongSupplier clock) {
		this.settings = settings;
		this.inForce = settings;
		this.plannedStop = new PlannedStop(settings.takeAllMillis(), settings.graceMillis() - END_EARLY_MILLIS);
		SplittableRandom random = new SplittableRandom(ThreadLocalRandom.current().nextLong());
		this.beliefs = new TargetBeliefs(this::workOfOthers, random);
		this.beliefs.onDoubt((t) -> this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, t.id(), t.id(),
				"doubted: connections refused, own " + this.beliefs.of(t).refused())));
		XnioIoThread thread = this.io.worker().getIoThread();
		Timers timers = new Timers();
		this.loop = new EventLoop(thread, timers, clock);
		HttpCaller http = new HttpCaller(this.io.worker(), this.io.buffers());
		PlatformAdapter adapter = platform.create(settings, http, thread);
		DirectCalls calls = new DirectCalls(this.loop, http, adapter.headers(), adapter.engines(),
				new CallTimes(this.metrics));
		this.retries = new RetryWindow(settings.retryWindowMillis(), settings.retryRatio(), settings.ownRetryExtra(1),
				settings.retryExtra(), this::spendingOfOthers);
		this.others = new OtherEntries(settings, this.beliefs, this.retries, this.loop, random, this.audit);
		this.cold = new ColdTargets(settings.coldBound(), this.others, this::coldPerSecond, this.audit);
		this.suspicions = new Suspicions(this.others, this.loop, random, this.audit);
		TargetLimits limits = new TargetLimits(
				new RequestShare(() -> this.entriesOfLate, this::ownRequests, this::requestsOfOthers),
				this.others::phase);
		this.needs = new TargetsInNeed(limits, this.others::tellNeeds, this.audit);
		MembershipEvents members = new MembershipEvents(this.beliefs, this.cold, this.needs, this.loop, this.audit);
		this.store = new FollowedStore(adapter.source(), settings.follow(), members, members, this::use,
				this.others.reading(), timers, random, new DefaultBackgroundWork(thread), this.audit);
		this.directory = this.store.directory();
		Eligibility eligibility = new Eligibility(this.directory, this.beliefs, this.cold, this.needs,
				settings.regions());
		this.others.share(this.needs, this.directory::isKnownRun);
		TargetChooser chooser = new TargetChooser(eligibility, this.beliefs, settings.dataCentre(), random,
				settings.mechanisms());
		this.dispatcher = new Dispatcher(DispatchSettings.defaults(settings.mechanisms()), this.directory, this.beliefs,
				eligibility, chooser, this.others, this.others, this.suspicions.requests(), this.retries, timers, calls,
				this.audit);
		calls.use(this.dispatcher);
		this.suspicions.use(this.dispatcher);
		members.use(this.dispatcher, this.store);
		this.handover = new StateHandover(this.store.follower(), this.others, this.loop, this.audit);
		this.others.onState(this.handover);
		this.inquiry = new EngineInquiry(this.store, this.others, this.beliefs, adapter.engines(), this.loop,
				this.audit);
		this.others.onStoreNews((n) -> this.store.follower().told(n, this.loop.now()));
		this.gate = new WakeGate(this.store.follower()::ageMillis);
		this.loop.onPause(this::paused);
		this.callers = new DirectServer(this.io, settings.callers(), calls, adapter.headers(),
				this.store.published()::plan, this.plannedStop, this.loop, this.gate::isClosed, random, this.audit);
		this.readiness = new ReadinessServer(this.io, settings.readiness(), adapter.source()::readinessPaths,
				this::isReady);
		registerMetrics();
	}

	/**
	 * Run until the planned stop is over.
	 * @return how the process ends
	 */
	public ExitCode run() {
		// In the order in which callers need it: connections that wait, the plan, the
		// rest.
		this.callers.listen();
		this.loop.run(() -> this.store.follower().start(this.loop.now()));
		this.readiness.start();
		LogLine.of("started").with("address", this.settings.callers().toString()).info();
		this.loop.run(() -> lookForPlan(this.loop.now()));
		this.loop.run(this::lookAtShares);
		if (!awaitPlan()) {
			return ExitCode.FAILED;
		}
		OperatorServer operators = new OperatorServer(this.io.worker(), this.settings.operators(), this.metrics,
				this.audit, this::isReady, this::status, Handlers.routing());
		operators.start();
		this.others.listen(this.settings.news());
		this.loop.run(() -> this.others.start(this.loop.now()));
		this.loop.run(() -> this.suspicions.start(this.loop.now()));
		if (this.settings.mechanisms().use(Mechanism.LEAVING_INQUIRY)) {
			this.loop.run(() -> this.inquiry.start(this.loop.now()));
		}
		MonotonicClock.countSuspensions();
		if (!await(this.ended)) {
			return ExitCode.FAILED;
		}
		LogLine.of("ended").with("openCalls", this.dispatcher.openCalls()).info();
		return ExitCode.OK;
	}

	/**
	 * Start the planned stop: fail the readiness check, go on with what is under way,
	 * then end.
	 */
	public void stop() {
		this.plannedStop.order(this.loop.now(), this.loop.earliest());
		this.loop.run(() -> {
			long now = this.loop.now();
			this.audit.record(AuditEvent.of(AuditKind.LEAVING, this.settings.instance(), "",
					"planned stop with " + this.dispatcher.openCalls() + " open calls, ordered up to "
							+ this.plannedStop.uncertainMillis() + " ms before it was heard"));
			lookForEnd(now, now);
		});
	}

	/**
	 * Take settings that were read again. Addresses and the store stay as they were until
	 * the process is started anew.
	 * @param read the settings, or what is wrong with them
	 */
	public void reload(Either<String, DirectSettings> read) {
		if (read.isLeft()) {
			LogLine.of("reload").with("outcome", "refused").with("cause", read.getLeft()).warn();
			return;
		}
		DirectSettings fresh = read.get();
		this.loop.run(() -> this.inForce = fresh);
		boolean isTaken = fresh.equalsButForRetryBounds(this.settings);
		LogLine.of("reload")
			.with("outcome", isTaken ? "taken" : "in part: the rest changes with the next start")
			.info();
	}

	/**
	 * Return where callers connect.
	 * @return the address
	 */
	public InetSocketAddress callersAddress() {
		return this.callers.address();
	}

	/**
	 * Return whether the process takes requests.
	 * @return whether it is ready
	 */
	public boolean isReady() {
		return this.ready && !this.plannedStop.isOrdered();
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

	// Waits for the store, then for the store or others, whoever tells first.
	private boolean awaitPlan() {
		try {
			if (!this.opened.await(STORE_ALONE_MILLIS, TimeUnit.MILLISECONDS)) {
				this.others.listen(this.settings.news());
				this.loop.run(() -> this.handover.start(this.loop.now()));
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

	// What is due is run behind this, and then the input that ended the pause is taken.
	private void paused(long millis, long now) {
		long suspended = MonotonicClock.suspendedMillis() - this.suspendedTold;
		this.suspendedTold += suspended;
		boolean isHeld = this.gate.paused(millis, now);
		this.audit.record(AuditEvent.of(AuditKind.PAUSED, this.settings.instance(), "",
				"held up for " + millis + " ms, the machine suspended for " + suspended + " of them; "
						+ this.dispatcher.openCalls() + " open calls"
						+ (isHeld ? "; requests wait until the store is heard" : "")));
		if (isHeld) {
			this.store.follower().heldUp(now);
			lookForRelease(now);
		}
	}

	private void lookForRelease(long now) {
		if (this.gate.isClosed(now)) {
			this.loop.timers().at(now + LOOK_MILLIS, this::lookForRelease);
			return;
		}
		this.callers.release();
	}

	// More entries have smaller parts; a part grows only when an entry has been gone
	// for a while.
	private void lookAtShares() {
		MonotonicClock.look();
		this.figures = look(this.loop.now());
		this.entriesOfLate = Math.max(this.others.count() + 1, this.entriesOfLate - 1);
		this.retries.allow(this.inForce.retryRatio(), this.inForce.ownRetryExtra(this.entriesOfLate));
		this.loop.timers().at(this.loop.now() + SHARE_MILLIS, (t) -> lookAtShares());
	}

	private EntryFigures look(long now) {
		return new EntryFigures(this.beliefs.doubted(now), this.cold.count(now), this.needs.limited(),
				this.needs.resting(now), this.suspicions.requests().quarantined(now), this.store.evacuations().count(),
				this.store.follower().behindMillis(now));
	}

	// Requests that come during the start wait unread for the plan, since callers come
	// back once at the most; they wait for no longer than callers bear.
	private void lookForPlan(long startedAt) {
		long now = this.loop.now();
		boolean isComplete = this.store.published().isComplete();
		if (!this.open && (isComplete || now - startedAt >= this.settings.startHoldMillis())) {
			this.open = true;
			this.callers.open();
			this.opened.countDown();
		}
		if (isComplete) {
			this.handover.stop();
			this.ready = true;
			LogLine.of("ready").with("targets", this.directory.size()).info();
			return;
		}
		this.loop.timers().at(now + LOOK_MILLIS, (t) -> lookForPlan(startedAt));
	}

	private void lookForEnd(long since, long now) {
		boolean isIdle = this.dispatcher.openCalls() == 0 && this.callers.openAnswers() == 0;
		boolean isLate = now - since >= this.settings.graceMillis() - END_EARLY_MILLIS;
		if (isLate || (isIdle && now - since >= BALANCER_MILLIS)) {
			try {
				this.others.end(now);
			}
			finally {
				this.ended.countDown();
			}
			return;
		}
		this.loop.timers().at(now + LOOK_MILLIS, (t) -> lookForEnd(since, t));
	}

	private Optional<WorkAtTarget> workOfOthers(TargetRun target) {
		return this.others.workAt(target);
	}

	private Optional<ServiceSpending> spendingOfOthers(String service, long windowMillis, long now) {
		return this.settings.mechanisms().use(Mechanism.SHARED_BUDGET)
				? this.others.spending(service, windowMillis, now) : Optional.empty();
	}

	private OptionalLong ownRequests(String service, long now) {
		return this.retries.spending(now)
			.stream()
			.filter((s) -> s.service().equals(service))
			.mapToLong(ServiceSpending::requests)
			.findFirst();
	}

	private OptionalLong requestsOfOthers(String service, long now) {
		return this.others.spending(service, this.settings.retryWindowMillis(), now)
			.stream()
			.mapToLong(ServiceSpending::requests)
			.findFirst();
	}

	private double coldPerSecond(String service) {
		return this.store.published()
			.plan()
			.flatMap((p) -> p.service(service))
			.map(ServiceSpec::coldPerSecond)
			.orElse(0.0);
	}

	private void use(ServingPlan inForce) {
		this.dispatcher.use(inForce);
	}

	private Object status() {
		return Map.of("instance", this.settings.instance(), "ready", isReady(), "openCalls",
				this.dispatcher.openCalls(), "planVersion",
				this.store.published().plan().map((p) -> Long.toString(p.version())).orElse("none"), "targets",
				this.directory.size());
	}

	private void registerMetrics() {
		this.metrics.register("laneworks_open_calls", (Gauge<Integer>) this.dispatcher::openCalls);
		this.metrics.register("laneworks_targets", (Gauge<Integer>) this.directory::size);
		this.metrics.register("laneworks_suspended_millis", (Gauge<Long>) MonotonicClock::suspendedMillis);
		this.metrics.register("laneworks_targets_lapsed", (Gauge<Integer>) this.directory::lapsed);
		this.metrics.register("laneworks_targets_doubted", (Gauge<Long>) () -> this.figures.doubtedTargets());
		this.metrics.register("laneworks_targets_limited", (Gauge<Integer>) () -> this.figures.limitedTargets());
		this.metrics.register("laneworks_store_behind_millis", (Gauge<Long>) () -> this.figures.storeBehindMillis());
		this.metrics.register("laneworks_targets_resting", (Gauge<Integer>) () -> this.figures.restingTargets());
		this.metrics.register("laneworks_targets_cold", (Gauge<Long>) () -> this.figures.coldTargets());
		this.metrics.register("laneworks_requests_quarantined", (Gauge<Long>) () -> this.figures.quarantinedRequests());
		this.metrics.register("laneworks_data_centres_evacuated",
				(Gauge<Integer>) () -> this.figures.evacuatedDataCentres());
		this.metrics.register("laneworks_store_histories", (Gauge<Integer>) this.store.published()::histories);
		this.metrics.register("laneworks_items_refused", (Gauge<Integer>) this.store.published()::refusedItems);
		this.metrics.register("laneworks_peers", (Gauge<Integer>) this.others::count);
		for (AuditKind kind : AuditKind.values()) {
			this.metrics.counter(counterName(kind));
		}
		this.audit.watch((r) -> this.metrics.counter(counterName(r.event().kind())).inc());
	}

	private static String counterName(AuditKind kind) {
		return "laneworks_decisions_" + kind.label().replace('-', '_');
	}

}
