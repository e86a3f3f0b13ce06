package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.backpressure.BackpressureSignals;
import dev.laneworks.core.backpressure.TargetBackpressure;
import dev.laneworks.core.backpressure.TargetRateLimits;
import dev.laneworks.core.budget.SharedRetryBudget;
import dev.laneworks.core.directory.DirectoryListener;
import dev.laneworks.core.directory.DrainingCause;
import dev.laneworks.core.directory.EvacuationListener;
import dev.laneworks.core.directory.Evacuations;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.follow.StoreContact;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.poison.PartObservation;
import dev.laneworks.core.poison.PartSettings;
import dev.laneworks.core.poison.PoisonSettings;
import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.poison.SuspectListener;
import dev.laneworks.core.poison.SuspectPartGroup;
import dev.laneworks.core.poison.SuspectParts;
import dev.laneworks.core.poison.SuspectPartsListener;
import dev.laneworks.core.poison.SuspectRequests;
import dev.laneworks.core.serving.AccountKeys;
import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.RequestLimits;
import dev.laneworks.core.serving.RouteSpec;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.serving.WeightedService;
import dev.laneworks.core.time.Timers;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.waiting.GenerationQueues;

/**
 * Dispatcher with real collaborators and recorded outputs, whose targets are simulated by
 * the test.
 */
final class DispatchHarness implements DispatchOutputs {

	static final String PLAIN = "plain";

	static final String ENGINES = "engines";

	final List<Sent> sent = new ArrayList<>();

	final List<String> abandoned = new ArrayList<>();

	/** The targets that were ordered to be probed. */
	final List<ListedTarget> checked = new ArrayList<>();

	/** The targets whose processes were ordered to be identified. */
	final List<ListedTarget> identified = new ArrayList<>();

	/** The probes that were ordered to identify a process. */
	final Map<Probe, ListedTarget> identityProbes = new LinkedHashMap<>();

	/** The probe that was ordered last. */
	Probe lastProbe;

	final List<CopyOrder> copies = new ArrayList<>();

	final List<String> released = new ArrayList<>();

	final Map<Long, List<String>> answers = new TreeMap<>();

	final Map<Long, Refusal> refusals = new TreeMap<>();

	final List<AuditEvent> audit = new ArrayList<>();

	private final SharedRetryBudget retries = new SharedRetryBudget(10_000, -60_000, this.audit::add);

	/** The work of other entries, by target. */
	final Map<String, WorkAtTarget> workOfOthers = new TreeMap<>();

	final Timers timers = new Timers();

	final TargetEstimates estimates = new TargetEstimates(this::findWorkOfOthers, new SplittableRandom(3));

	final Evacuations evacuations = new Evacuations(new EvacuationForwarder());

	final TargetDirectory directory = new TargetDirectory(new DirectoryForwarder(), this.evacuations, this.timers);

	/** The requests per second that a cold target supports. */
	double coldPerSecond;

	/** The number of entries, and how many of them rank before this one. */
	int entries = 1;

	int rank;

	final ColdTargets cold = new ColdTargets(new ColdRateLimit(1.5, 5), new FixedRanks(), (s) -> this.coldPerSecond,
			(e) -> this.audit.add(e));

	/** The share of this entry in the rate limits that targets advertise. */
	double share = 1;

	final TargetRateLimits limits = new TargetRateLimits((s, t) -> this.share, (t) -> 0);

	/**
	 * Incarnations of targets whose back-pressure signals were to be announced
	 * immediately.
	 */
	final List<TargetIncarnation> announcedSignals = new ArrayList<>();

	final TargetBackpressure backpressure = new TargetBackpressure(this.limits, this.announcedSignals::add,
			(e) -> this.audit.add(e));

	final Eligibility eligibility = new Eligibility(this.directory, this.estimates, this.cold, this.backpressure,
			Map.of("dc", "north", "dc2", "north", "dc3", "south"));

	/** The allowed regions of requests that are opened from now on. */
	AllowedRegions regions = AllowedRegions.any();

	/** Whether new requests wait for a contact with the store. */
	boolean awaitsContact;

	final SendGuard guard = new SendGuard(this.eligibility, new RecentContact(), (t) -> this.awaitsContact,
			OptionalLong.of(3_000));

	final SuspectRequests suspects;

	final SuspectParts suspectParts;

	final Dispatcher dispatcher;

	/**
	 * The requests in progress at crashes, one entry for each crash, and those cleared
	 * since.
	 */
	final List<RequestDigest> suspected = new ArrayList<>();

	final List<RequestDigest> cleared = new ArrayList<>();

	/** Called for each suspected and each cleared request. */
	Consumer<RequestDigest> onSuspicion = (d) -> {
	};

	/** Called for each observation of prompt parts. */
	Consumer<PartObservation> onPartObservation = (o) -> {
	};

	/** The groups of prompt parts whose quarantine has ended. */
	final List<SuspectPartGroup> clearedParts = new ArrayList<>();

	/** The time by which the trials of a quarantined part are delayed. */
	long trialDelayMillis;

	private final Map<Long, RequestDigest> digests = new TreeMap<>();

	/** Whether suspicions are being received from another entry. */
	boolean receivingGossip;

	boolean mayCopy = true;

	/** The time since other data centres were heard, by name. */
	final Map<String, Long> silentMillis = new TreeMap<>();

	long now;

	DispatchHarness(double retryRatio, double retryExtra, long seed) {
		this(retryRatio, retryExtra, seed, Mechanisms.all(), PoisonSettings.defaults());
	}

	DispatchHarness(double retryRatio, double retryExtra, long seed, Mechanisms mechanisms, PoisonSettings poison) {
		this(retryRatio, retryExtra, seed, mechanisms, poison, GenerationQueues.off(), defaultPlan(), "dc");
	}

	DispatchHarness(double retryRatio, double retryExtra, long seed, Mechanisms mechanisms, PoisonSettings poison,
			GenerationQueues queues, ServingPlan plan) {
		this(retryRatio, retryExtra, seed, mechanisms, poison, queues, plan, "dc");
	}

	DispatchHarness(double retryRatio, double retryExtra, long seed, Mechanisms mechanisms, PoisonSettings poison,
			PartSettings parts) {
		this(retryRatio, retryExtra, seed, mechanisms, poison, parts, GenerationQueues.off(), defaultPlan(), "dc");
	}

	DispatchHarness(double retryRatio, double retryExtra, long seed, Mechanisms mechanisms, PoisonSettings poison,
			String dataCentre) {
		this(retryRatio, retryExtra, seed, mechanisms, poison, GenerationQueues.off(), defaultPlan(), dataCentre);
	}

	private DispatchHarness(double retryRatio, double retryExtra, long seed, Mechanisms mechanisms,
			PoisonSettings poison, GenerationQueues queues, ServingPlan plan, String dataCentre) {
		this(retryRatio, retryExtra, seed, mechanisms, poison, PartSettings.defaults(), queues, plan, dataCentre);
	}

	private DispatchHarness(double retryRatio, double retryExtra, long seed, Mechanisms mechanisms,
			PoisonSettings poison, PartSettings parts, GenerationQueues queues, ServingPlan plan, String dataCentre) {
		this.suspects = new SuspectRequests(poison, new SuspicionRecorder());
		this.suspectParts = new SuspectParts(parts, (g) -> this.trialDelayMillis, new PartRecorder());
		SplittableRandom random = new SplittableRandom(seed);
		TargetChooser chooser = new TargetChooser(this.eligibility, this.estimates, dataCentre,
				(d, t) -> this.silentMillis.getOrDefault(d, 0L), random, mechanisms);
		setRetryLimits(retryRatio, retryExtra);
		this.dispatcher = new Dispatcher(DispatchSettings.defaults(mechanisms), this.directory, this.estimates,
				this.eligibility, this.guard, chooser, new FixedCopyTurn(), new FixedRanks(), queues, this.suspects,
				this.suspectParts, this.retries, this.timers, this, this.audit::add);
		this.dispatcher.applyPlan(plan);
	}

	/**
	 * Set what an entry that has lived through a window may retry.
	 * @param ratio the retries allowed per request
	 * @param extra the fixed number of retries
	 */
	void setRetryLimits(double ratio, double extra) {
		double spendable = 1 - SharedRetryBudget.START_FRACTION;
		this.retries.setLimits(ratio / spendable, extra / spendable);
	}

	private static ServingPlan defaultPlan() {
		EngineSpec engine = new EngineSpec(64, 34_000, 18_432, 2_700, 4, true, true, 2_000);
		return new ServingPlan(1, List.of(),
				Map.of(PLAIN, new ServiceSpec(PLAIN, 100, 0, Optional.empty()), ENGINES,
						new ServiceSpec(ENGINES, 400, 0, Optional.of(engine))),
				AccountKeys.notRequired(), new RequestLimits(16_384, 4_194_304, 3_000, 15_000));
	}

	static DispatchHarness without(Mechanism mechanism) {
		return new DispatchHarness(1, 100, 1, new Mechanisms(Set.of(mechanism)), PoisonSettings.defaults());
	}

	static DispatchHarness create() {
		return new DispatchHarness(1, 100, 1);
	}

	ListedTarget join(String service, String id) {
		return join(service, id, "dc");
	}

	ListedTarget join(String service, String id, String dataCentre) {
		ListedTarget target = new ListedTarget(id, service, "10.0.0." + (this.directory.size() + 1), 80, dataCentre, 6,
				false);
		this.directory.put(target);
		return target;
	}

	void drain(ListedTarget target) {
		this.directory.put(new ListedTarget(target.id(), target.service(), target.host(), target.port(),
				target.dataCentre(), target.slots(), true));
		settle();
	}

	/**
	 * Remove a target from the directory.
	 * @param target the target to remove
	 */
	void remove(ListedTarget target) {
		this.directory.remove(target.id(), this.now);
		settle();
	}

	/**
	 * Restart a target under its id.
	 * @param target the incarnation that ends
	 * @return the newly listed incarnation
	 */
	ListedTarget restart(ListedTarget target) {
		ListedTarget started = target.withStartMillis(OptionalLong.of(target.startMillis().orElse(0) + 1));
		this.directory.put(started);
		settle();
		return started;
	}

	void open(long call, RequestKind kind, int maxAttempts) {
		open(call, kind, maxAttempts, PLAIN, Optional.empty());
	}

	void openStream(long call) {
		openStream(call, 3_000);
	}

	void openStream(long call, List<String> parts) {
		openStream(call, 3_000, parts);
	}

	void openStream(long call, long promptTokens) {
		openStream(call, promptTokens, List.of());
	}

	private void openStream(long call, long promptTokens, List<String> parts) {
		GenerationSize size = new GenerationSize("m", promptTokens, 1_000, OptionalLong.empty(),
				parts.stream().map((p) -> new PromptPart(p, 100)).toList());
		open(call, RequestKind.STREAMING, 1, ENGINES, Optional.of(size));
	}

	private void open(long call, RequestKind kind, int maxAttempts, String service, Optional<GenerationSize> size) {
		long timeout = (kind == RequestKind.STREAMING) ? 39_000 : 1_500;
		RouteSpec route = new RouteSpec("r", "h", "/", kind, timeout, 300, 180, 1, maxAttempts, false,
				List.of(new WeightedService(service, 1)), AllowedRegions.any());
		this.dispatcher.open(call, new DirectRequest(id(call), route, service, "acme", 2 * timeout, this.regions,
				this.digests.getOrDefault(call, digest(call)), size), this.now);
		settle();
	}

	/**
	 * Give a call the digest of another request. To be called before the call is opened.
	 * @param call the number of the call
	 * @param same the digest to share
	 */
	void shareDigest(long call, RequestDigest same) {
		this.digests.put(call, same);
	}

	// A digest that no other call has.
	static RequestDigest digest(long call) {
		return new RequestDigest(0, 0, call);
	}

	private Optional<WorkAtTarget> findWorkOfOthers(TargetIncarnation target) {
		return Optional.ofNullable(this.workOfOthers.get(target.id())).filter((w) -> w.target().equals(target));
	}

	static String id(long call) {
		return "request-" + call;
	}

	/**
	 * Establish the connection of the most recent attempt and send its request.
	 * @return the most recent attempt
	 */
	Sent sendLast() {
		Sent last = this.sent.get(this.sent.size() - 1);
		assertReady(last);
		return last;
	}

	boolean assertReady(Sent attempt) {
		OptionalLong left = this.dispatcher.readyToSend(attempt.call(), attempt.attempt(), this.now);
		settle();
		return left.isPresent();
	}

	void answer(Sent to, int status, boolean notRun) {
		answer(to, status, notRun, BackpressureSignals.NONE);
	}

	void answer(Sent to, int status, boolean notRun, BackpressureSignals signals) {
		AnswerHead head = new AnswerHead(status, id(to.call()), status < 300, false, notRun, false, Optional.empty(),
				OptionalLong.empty(), signals);
		this.dispatcher.headReceived(to.call(), to.attempt(), head, this.now);
		this.dispatcher.answered(to.call(), to.attempt(), head, AnswerEnd.MARKED, this.now);
		settle();
	}

	boolean event(Sent from, long id) {
		return event(from, EventId.of(id));
	}

	boolean event(Sent from, EventId id) {
		boolean passed = this.dispatcher.eventReceived(from.call(), from.attempt(), id, this.now);
		settle();
		return passed;
	}

	void breakConnection(Sent attempt) {
		this.dispatcher.attemptBroken(attempt.call(), attempt.attempt(), "reset", this.now);
		settle();
	}

	void copied(CopyResult.Outcome outcome, String handle) {
		CopyOrder order = this.copies.get(this.copies.size() - 1);
		long call = Long.parseLong(order.requestId().substring("request-".length()));
		this.dispatcher.copied(call, order, new CopyResult(outcome, handle), this.now);
		settle();
	}

	void passTime(long millis) {
		long end = this.now + millis;
		while (this.timers.nextDue() <= end) {
			this.now = Math.max(this.now, this.timers.nextDue());
			this.timers.run(this.now);
		}
		this.now = end;
	}

	private void settle() {
		this.timers.run(this.now);
	}

	@Override
	public void send(long call, int attempt, ListedTarget target, SendParameters parameters) {
		this.sent.add(new Sent(call, attempt, target, parameters));
	}

	@Override
	public void abandon(long call, int attempt) {
		this.abandoned.add(call + "/" + attempt);
	}

	@Override
	public void deliver(long call, int attempt) {
		finalAnswer(call, "delivered " + attempt);
	}

	@Override
	public void startStream(long call, int attempt) {
		this.answers.computeIfAbsent(call, (c) -> new ArrayList<>()).add("started");
	}

	@Override
	public void endStream(long call) {
		finalAnswer(call, "ended");
	}

	@Override
	public void cutStream(long call) {
		finalAnswer(call, "cut");
	}

	@Override
	public void refuse(long call, Refusal refusal) {
		this.refusals.put(call, refusal);
		finalAnswer(call, "refused " + refusal.reason().status());
	}

	@Override
	public void copy(long call, CopyOrder order) {
		this.copies.add(order);
	}

	@Override
	public void probe(ListedTarget target, Probe probe) {
		this.checked.add(target);
		this.lastProbe = probe;
	}

	@Override
	public void identify(long call, int attempt, Probe probe) {
		ListedTarget target = this.sent.stream()
			.filter((s) -> s.call() == call && s.attempt() == attempt)
			.findFirst()
			.orElseThrow()
			.target();
		this.identified.add(target);
		this.lastProbe = probe;
		this.identityProbes.put(probe, target);
	}

	/**
	 * Report that the process of a target answers to all probes so far.
	 * @param target the probed target
	 */
	void lives(ListedTarget target) {
		identified(target, ProbeAnswer.Connection.NEW, target.id());
	}

	void identified(ListedTarget target, ProbeAnswer.Connection connection, String id) {
		ProbeAnswer answer = new ProbeAnswer(connection, Optional.of(id).filter((i) -> !i.isEmpty()), false);
		this.identityProbes.entrySet()
			.stream()
			.filter((p) -> p.getValue().equals(target))
			.map(Map.Entry::getKey)
			.toList()
			.forEach((p) -> identified(target, p, answer));
	}

	void identified(ListedTarget target, Probe probe, ProbeAnswer answer) {
		this.dispatcher.identified(target, probe, answer, this.now);
		settle();
	}

	/**
	 * Report the result of a probe that is ordered now.
	 * @param target the probed target
	 * @param refused whether it refuses connections
	 */
	void probed(ListedTarget target, boolean refused) {
		probed(target, new Probe(Long.MAX_VALUE, this.now), refused);
	}

	void probed(ListedTarget target, Probe probe, boolean refused) {
		this.dispatcher.probed(target, probe, refused, this.now);
		settle();
	}

	@Override
	public void releaseCopy(ListedTarget source, String handle) {
		this.released.add(source.id() + "/" + handle);
	}

	AuditEvent lastAudit() {
		return this.audit.get(this.audit.size() - 1);
	}

	List<String> answers(long call) {
		return this.answers.getOrDefault(call, List.of());
	}

	private void finalAnswer(long call, String answer) {
		this.answers.computeIfAbsent(call, (c) -> new ArrayList<>()).add(answer);
	}

	/**
	 * An attempt that the dispatcher ordered.
	 *
	 * @param call the number of the call
	 * @param attempt the number of the attempt
	 * @param target the target to send to
	 * @param order the parameters of the request at the target
	 */
	record Sent(long call, int attempt, ListedTarget target, SendParameters order) {

	}

	private static final class RecentContact implements StoreContact {

		@Override
		public OptionalLong appliedRevision() {
			return OptionalLong.of(1);
		}

		@Override
		public long silentMillis(long now) {
			return 0;
		}

	}

	private final class FixedCopyTurn implements CopyCoordination {

		@Override
		public boolean isOwnTurn(ListedTarget source, long sinceNotice, long now) {
			return DispatchHarness.this.mayCopy;
		}

		@Override
		public boolean areLinksIdle(ListedTarget source, ListedTarget destination) {
			return DispatchHarness.this.mayCopy;
		}

	}

	private final class FixedRanks implements EntryRanks {

		@Override
		public int entries() {
			return DispatchHarness.this.entries;
		}

		@Override
		public int rankFor(String target) {
			return DispatchHarness.this.rank;
		}

	}

	private final class SuspicionRecorder implements SuspectListener {

		@Override
		public void crashed(RequestDigest digest, TargetIncarnation incarnation, int ends, long now) {
			DispatchHarness.this.suspected.add(digest);
			DispatchHarness.this.onSuspicion.accept(digest);
		}

		@Override
		public void quarantined(RequestDigest digest, long now) {
			DispatchHarness.this.dispatcher.quarantined(digest, now);
		}

		@Override
		public void cleared(RequestDigest digest, long now) {
			DispatchHarness.this.cleared.add(digest);
			DispatchHarness.this.onSuspicion.accept(digest);
		}

	}

	private final class PartRecorder implements SuspectPartsListener {

		@Override
		public void observed(PartObservation observation, long now) {
			DispatchHarness.this.onPartObservation.accept(observation);
		}

		@Override
		public void quarantined(SuspectPartGroup group, long now) {
			DispatchHarness.this.dispatcher.quarantined(group, now);
		}

		@Override
		public void cleared(SuspectPartGroup group, long now) {
			DispatchHarness.this.clearedParts.add(group);
		}

	}

	private final class EvacuationForwarder implements EvacuationListener {

		@Override
		public void evacuated(String dataCentre) {
			DispatchHarness.this.dispatcher.dataCentreEvacuated(dataCentre, DispatchHarness.this.now);
		}

		@Override
		public void evacuationEnded(String dataCentre) {
			// Targets accept requests again without further action.
		}

	}

	private final class DirectoryForwarder implements DirectoryListener {

		@Override
		public void listed(ListedTarget target) {
			target.coldMillis()
				.ifPresent((c) -> DispatchHarness.this.cold.recordCold(target, c, DispatchHarness.this.now));
		}

		@Override
		public void joined(ListedTarget target) {
			DispatchHarness.this.dispatcher.targetListed(target);
			DispatchHarness.this.estimates.of(target).recordListed(target);
		}

		@Override
		public void draining(ListedTarget target, DrainingCause cause) {
			DispatchHarness.this.dispatcher.targetDraining(target, cause, DispatchHarness.this.now);
		}

		@Override
		public void gone(ListedTarget target) {
			DispatchHarness.this.dispatcher.targetRemoved(target, DispatchHarness.this.now);
			DispatchHarness.this.estimates.remove(target);
			DispatchHarness.this.cold.forget(target);
			DispatchHarness.this.backpressure.recordUnlisted(target, DispatchHarness.this.now);
		}

	}

}
