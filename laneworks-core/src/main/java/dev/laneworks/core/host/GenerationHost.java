package dev.laneworks.core.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.admission.LengthModel;
import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.configuration.ConfigurationLedger;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.message.BarOutcome;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.LoadReport;
import dev.laneworks.core.message.OnceKey;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.message.Work;
import dev.laneworks.core.once.ExpiringNames;
import dev.laneworks.core.once.KeyDecision;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Owns the generations at one target: takes requests on, hands them to the target and
 * delivers their output.
 * <p>
 * A request has run once {@link HostOutputs#start} was called for it; until then every
 * refusal says {@code not run}. Each generation has one name, one log of output and at
 * most one reader. All inputs carry the time in milliseconds, which must not fall. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class GenerationHost {

	private static final long RETRY_ELSEWHERE_MILLIS = 50;

	private static final long REATTACH_GAP_MILLIS = 200;

	private static final long LEAST_RETRY_MILLIS = 500;

	private static final long UNKNOWN_MEMORY_MILLIS = Duration.ofMinutes(20).toMillis();

	private final HostSettings settings;

	private final HostOutputs outputs;

	private final KeyGuard keyGuard;

	private final ConfigurationLedger ledger;

	private final AuditSink audit;

	private final HostCounters counters = new HostCounters();

	private final Map<String, Generation> generations = new LinkedHashMap<>();

	/**
	 * Names that must not run: barred attempts, and keyed requests whose output is no
	 * longer held.
	 */
	private final ExpiringNames barred = new ExpiringNames();

	private final ExpiringNames spent = new ExpiringNames();

	private final Delivery delivery;

	private final LengthModel lengths;

	private final Admission admission;

	private final String target;

	private final long incarnation;

	private boolean leaving;

	private boolean ended;

	private long lastInputAt;

	/**
	 * Create a host without generations.
	 * @param target the name of the target
	 * @param incarnation the sidecar's incarnation, different for each process
	 * @param settings bounds and times
	 * @param keyGuard decides on keyed requests
	 * @param ledger the configuration in force
	 * @param lengths learns how long outputs are
	 * @param outputs what the host asks of the world
	 * @param audit takes audit events
	 * @param now the time in milliseconds
	 */
	public GenerationHost(String target, long incarnation, HostSettings settings, KeyGuard keyGuard,
			ConfigurationLedger ledger, LengthModel lengths, HostOutputs outputs, AuditSink audit, long now) {
		this.target = target;
		this.incarnation = incarnation;
		this.settings = settings;
		this.keyGuard = keyGuard;
		this.ledger = ledger;
		this.outputs = outputs;
		this.delivery = new Delivery(outputs);
		this.audit = audit;
		this.lastInputAt = now;
		this.lengths = lengths;
		this.admission = new Admission(settings, this.lengths);
	}

	/**
	 * Handle a message from an entry.
	 * @param link the link it came by
	 * @param message the message
	 * @param now the time in milliseconds
	 */
	public void onMessage(long link, EntryMessage message, long now) {
		if (this.ended) {
			return;
		}
		noticePause(now);
		if (message instanceof EntryMessage.Submit submit) {
			submit(link, submit, now);
		}
		else if (message instanceof EntryMessage.Attach attach) {
			attach(link, attach, now);
		}
		else if (message instanceof EntryMessage.Bar bar) {
			bar(link, bar, now);
		}
		else if (message instanceof EntryMessage.Release release) {
			this.delivery.find(link, release.stream()).ifPresent((g) -> release(g, release.mayReturn(), now));
		}
		else if (message instanceof EntryMessage.Credit credit) {
			this.delivery.find(link, credit.stream())
				.ifPresent((g) -> this.delivery.allow(g, credit.creditLimit(), now));
		}
		else if (message instanceof EntryMessage.Probe) {
			this.outputs.send(link, new SidecarMessage.Load(load()));
		}
		else if (message instanceof EntryMessage.BarKey barKey) {
			this.outputs.send(link, new SidecarMessage.KeyBarResult(barKey.key(), barKey(barKey.key(), now)));
		}
	}

	/**
	 * Handle the loss of a link: its readers may come back by another.
	 * @param link the link
	 * @param now the time in milliseconds
	 */
	public void onLinkLost(long link, long now) {
		noticePause(now);
		for (Generation generation : this.generations.values()) {
			if (generation.reader().filter((r) -> r.link() == link).isPresent()) {
				this.delivery.lose(generation, now);
			}
		}
	}

	/**
	 * Handle a piece of output from the target.
	 * @param name the generation's name
	 * @param offset the number of pieces before it
	 * @param data the output
	 * @param now the time in milliseconds
	 */
	public void onTargetChunk(String name, long offset, byte[] data, long now) {
		Generation generation = this.generations.get(name);
		if (generation == null || generation.state().isOver() || generation.state().isBeforeRun()) {
			return;
		}
		int expected = generation.log().size();
		if (offset < expected) {
			this.counters.duplicates().increment();
			return;
		}
		if (offset > expected) {
			this.counters.gaps().increment();
			askForOutput(generation, now);
			return;
		}
		generation.stopReattaching();
		generation.log().append(data);
		this.counters.tokens().increment();
		this.admission.recordToken(generation);
		this.delivery.pump(generation, now);
	}

	/**
	 * Handle the end of a generation at the target.
	 * @param name the generation's name
	 * @param total the number of pieces of its whole output
	 * @param reason why it ended
	 * @param now the time in milliseconds
	 */
	public void onTargetEnd(String name, long total, FinishReason reason, long now) {
		Generation generation = this.generations.get(name);
		if (generation == null || generation.state().isOver() || generation.state().isBeforeRun()) {
			return;
		}
		if (total != generation.log().size()) {
			this.counters.gaps().increment();
			askForOutput(generation, now);
			return;
		}
		this.admission.remove(generation);
		generation.end(reason, now);
		this.lengths.observe(generation.lengthClass(), total);
		this.delivery.pump(generation, now);
		admit(now);
	}

	/**
	 * Handle the loss of a generation's output.
	 * @param name the generation's name
	 * @param loss how it was lost
	 * @param now the time in milliseconds
	 */
	public void onTargetLost(String name, TargetLoss loss, long now) {
		Generation generation = this.generations.get(name);
		if (generation == null || generation.state().isOver() || generation.state().isBeforeRun()) {
			return;
		}
		switch (loss) {
			case NOT_SENT, REFUSED -> refusedByTarget(generation, loss, now);
			case BROKEN -> generation.startReattaching(now + this.settings.reattachMillis(), now + REATTACH_GAP_MILLIS);
			case UNKNOWN -> fail(generation, lostAnswer(generation, "the target no longer holds the generation"), now);
		}
	}

	/**
	 * Handle the target's answer about a keyed request of an earlier sidecar.
	 * @param name the generation's name
	 * @param found whether the target holds the generation
	 * @param now the time in milliseconds
	 */
	public void onLookUp(String name, boolean found, long now) {
		Generation generation = this.generations.get(name);
		if (generation == null || generation.state() != GenerationState.ASKING) {
			return;
		}
		if (!found) {
			refuseBeforeRun(generation, generation.answerIfUnknown(), now);
			return;
		}
		generation.enter(GenerationState.RUNNING);
		this.admission.addRunning(generation);
		this.audit.record(event(AuditKind.ATTACHED, generation, "the target holds a generation of this name"));
		askForOutput(generation, now);
	}

	/**
	 * Handle a former home's answer about a key.
	 * @param home the name of the former home
	 * @param key the key
	 * @param outcome whether the key can still run there
	 * @param now the time in milliseconds
	 */
	public void onHomeAnswer(String home, OnceKey key, BarOutcome outcome, long now) {
		Generation generation = this.generations.get(key.generationName());
		if (generation == null || generation.state() != GenerationState.ASKING) {
			return;
		}
		switch (outcome) {
			case BARRED -> {
				generation.homesToAsk().remove(home);
				if (generation.homesToAsk().isEmpty()) {
					enqueue(generation, now);
				}
			}
			case HAS_RUN -> refuseBeforeRun(generation,
					Refusal.ran(RefusalReason.KEY_IN_DOUBT, "an earlier try ran at " + home), now);
			case UNKNOWN -> refuseBeforeRun(generation, inDoubt(now, home + " can't tell whether it ran"), now);
		}
	}

	/**
	 * Start to leave: take no new work, send queued work back and go on with what runs.
	 * @param cause why the target leaves
	 * @param now the time in milliseconds
	 */
	public void leave(String cause, long now) {
		if (this.leaving) {
			return;
		}
		this.leaving = true;
		this.audit.record(AuditEvent.of(AuditKind.LEAVING, this.target, this.target, cause));
		sendQueuedBack(RefusalReason.LEAVING, "the target is leaving", now);
	}

	/**
	 * Do what is due.
	 * @param now the time in milliseconds
	 */
	public void tick(long now) {
		noticePause(now);
		this.barred.expire(now);
		this.spent.expire(now);
		for (Generation generation : new ArrayList<>(this.generations.values())) {
			tick(generation, now);
		}
		yieldMemory(now);
		admit(now);
	}

	/**
	 * Return whether nothing is under way and no output waits for a reader that may still
	 * come back.
	 * @param now the time in milliseconds
	 * @return {@code true} if the process may end
	 */
	public boolean isIdle(long now) {
		return this.generations.values()
			.stream()
			.allMatch((g) -> g.state().isOver() && g.reader().isEmpty()
					&& (g.isDelivered() || now - g.idleSince() >= this.settings.holdMillis()));
	}

	/**
	 * End for good: no message that comes after this is read.
	 * <p>
	 * To be followed by {@link SidecarMessage.Farewell} on every link.
	 */
	public void end() {
		this.ended = true;
	}

	/**
	 * Return whether no message is read any more.
	 * @return {@code true} after {@link #end}
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * Return whether the target takes no new work.
	 * @return {@code true} after {@link #leave}
	 */
	public boolean isLeaving() {
		return this.leaving;
	}

	/**
	 * Return the load.
	 * @return a report
	 */
	public LoadReport load() {
		return new LoadReport(this.admission.runningCount(), this.admission.queuedCount(), this.admission.usedTokens(),
				this.settings.capacityTokens(), this.leaving);
	}

	/**
	 * Return the counters.
	 * @return the counters, readable from any thread
	 */
	public HostCounters counters() {
		return this.counters;
	}

	/**
	 * Return a line for each generation held, for operators.
	 * @return at most a few hundred lines
	 */
	public List<GenerationStatus> status() {
		return this.generations.values().stream().limit(GenerationStatus.MOST_SHOWN).map(GenerationStatus::of).toList();
	}

	private void submit(long link, EntryMessage.Submit submit, long now) {
		Work work = submit.work();
		String name = work.generationName(submit.stream().attempt());
		Reader reader = new Reader(link, submit.stream(), 0, submit.creditLimit());
		Generation known = this.generations.get(name);
		if (known != null) {
			accept(known, reader, now);
			return;
		}
		Optional<Refusal> refusal = refusalAtTheDoor(name, submit, now);
		if (refusal.isPresent()) {
			refuse(link, submit.stream(), work, refusal.get());
			return;
		}
		Generation generation = new Generation(name, work, weight(work), GenerationState.QUEUED, now);
		this.delivery.assign(generation, reader);
		if (work.onceKey().isEmpty()) {
			this.generations.put(name, generation);
			enqueue(generation, now);
			return;
		}
		decideOnKey(generation, work.onceKey().get(), now);
	}

	private Optional<Refusal> refusalAtTheDoor(String name, EntryMessage.Submit submit, long now) {
		if (this.spent.contains(name)) {
			return Optional
				.of(Refusal.ran(RefusalReason.GENERATION_UNKNOWN, "the request ran and its output is no longer held"));
		}
		if (this.barred.contains(name) || this.barred.contains(submit.work().attemptName(submit.stream().attempt()))) {
			return Optional.of(Refusal.notRun(RefusalReason.WITHDRAWN, "the attempt was barred before it came",
					Duration.ofMillis(RETRY_ELSEWHERE_MILLIS)));
		}
		if (this.leaving) {
			return Optional.of(Refusal.notRun(RefusalReason.LEAVING, "the target is leaving",
					Duration.ofMillis(RETRY_ELSEWHERE_MILLIS)));
		}
		return this.admission.refusal(submit.work(), now);
	}

	private void decideOnKey(Generation generation, OnceKey key, long now) {
		KeyDecision decision = this.keyGuard.decide(key, generation.work().model(), this.ledger, now);
		if (decision instanceof KeyDecision.Refuse refuse) {
			Reader reader = generation.reader().orElseThrow();
			this.delivery.lose(generation, now);
			refuse(reader.link(), reader.stream(), generation.work(), refuse.refusal());
			return;
		}
		this.generations.put(generation.name(), generation);
		if (decision instanceof KeyDecision.Run) {
			enqueue(generation, now);
			return;
		}
		generation.enter(GenerationState.ASKING);
		generation.setDeadline(now + this.settings.askMillis());
		if (decision instanceof KeyDecision.AskTarget ask) {
			generation.answerIfUnknown(ask.otherwise());
			this.outputs.lookUp(generation.name());
		}
		else if (decision instanceof KeyDecision.AskHomes ask) {
			generation.homesToAsk().addAll(ask.homes());
			ask.homes().forEach((h) -> this.outputs.askHome(h, key));
		}
	}

	private void enqueue(Generation generation, long now) {
		generation.enter(GenerationState.QUEUED);
		generation.setDeadline(now + generation.work().patienceMillis());
		generation.reader()
			.ifPresent((r) -> this.outputs.send(r.link(),
					new SidecarMessage.Accepted(r.stream(), generation.name(), this.admission.queuedCount())));
		this.admission.enqueue(generation);
		admit(now);
	}

	private void admit(long now) {
		Optional<Generation> next = this.admission.next(now);
		while (next.isPresent()) {
			Generation generation = next.get();
			if (!generation.hasStarted() && !mayStillRun(generation, now)) {
				refuseBeforeRun(generation,
						Refusal.notRun(RefusalReason.STALE_VIEW,
								"the home of the key changed or its view grew old while the request waited",
								Duration.ofMillis(LEAST_RETRY_MILLIS)),
						now);
				next = this.admission.next(now);
				continue;
			}
			this.audit.record(event(AuditKind.ADMITTED, generation, "waited " + (now - generation.queuedAt()) + " ms, "
					+ this.admission.usedTokens() + " tokens held"));
			if (generation.hasStarted()) {
				generation.enter(GenerationState.RUNNING);
				this.audit.record(event(AuditKind.RESUMED, generation, "memory is free again"));
				this.outputs.resume(generation.name());
			}
			else {
				generation.enter(GenerationState.RUNNING);
				this.counters.admitted().increment();
				this.outputs.start(generation.name(), generation.work());
			}
			next = this.admission.next(now);
		}
	}

	private boolean mayStillRun(Generation generation, long now) {
		return generation.work()
			.onceKey()
			.map((k) -> this.keyGuard.mayStillRun(k, generation.work().model(), this.ledger, now))
			.orElse(true);
	}

	private void yieldMemory(long now) {
		Optional<Generation> victim = this.admission.victim();
		while (victim.isPresent()) {
			Generation generation = victim.get();
			this.counters.yields().increment();
			this.audit.record(event(AuditKind.YIELDED, generation,
					"memory is nearly full with " + this.admission.usedTokens() + " tokens held"));
			generation.enter(GenerationState.PAUSED);
			this.admission.requeue(generation);
			this.outputs.pause(generation.name());
			victim = this.admission.victim();
		}
	}

	private void attach(long link, EntryMessage.Attach attach, long now) {
		Reader reader = new Reader(link, attach.stream(), attach.offset(), attach.creditLimit());
		Generation generation = this.generations.get(attach.generation());
		if (generation != null) {
			accept(generation, reader, now);
			return;
		}
		Optional<Refusal> refusal = refusalOfUnheld(attach);
		if (refusal.isPresent()) {
			this.counters.refused().increment();
			this.outputs.send(link, new SidecarMessage.Refused(attach.stream(), refusal.get()));
			return;
		}
		Generation adopted = Generation.adopted(attach.generation(), now);
		this.delivery.assign(adopted, reader);
		this.generations.put(adopted.name(), adopted);
		this.admission.addRunning(adopted);
		this.audit.record(event(AuditKind.ATTACHED, adopted, "an earlier sidecar started it"));
		this.outputs.send(link, new SidecarMessage.Accepted(attach.stream(), adopted.name(), 0));
		askForOutput(adopted, now);
	}

	private Optional<Refusal> refusalOfUnheld(EntryMessage.Attach attach) {
		if (!this.spent.contains(attach.generation()) && this.barred.contains(attach.generation())) {
			return Optional.of(Refusal.notRun(RefusalReason.WITHDRAWN, "the request was sent back before it ran",
					Duration.ofMillis(RETRY_ELSEWHERE_MILLIS)));
		}
		if (attach.incarnation() == this.incarnation || this.spent.contains(attach.generation())) {
			return Optional
				.of(Refusal.ran(RefusalReason.GENERATION_UNKNOWN, "the generation is over and no longer held"));
		}
		return Optional.empty();
	}

	private void accept(Generation generation, Reader reader, long now) {
		this.audit.record(event(AuditKind.ATTACHED, generation, "reader from offset " + reader.nextOffset()));
		this.delivery.takeOver(generation, reader, now);
	}

	private void bar(long link, EntryMessage.Bar bar, long now) {
		BarOutcome outcome = barOutcome(link, bar);
		if (outcome == BarOutcome.BARRED) {
			Generation generation = this.generations.get(bar.generation());
			if (generation != null) {
				drop(generation, now);
			}
			this.barred.add(bar.attemptName(), now + memoryMillis());
		}
		this.audit.record(AuditEvent.of(AuditKind.BARRED, bar.generation(), this.target, "outcome " + outcome));
		this.outputs.send(link, new SidecarMessage.BarResult(bar.stream(), outcome));
	}

	private BarOutcome barOutcome(long link, EntryMessage.Bar bar) {
		Generation generation = this.generations.get(bar.generation());
		if (generation != null) {
			if (!generation.state().isBeforeRun()) {
				return BarOutcome.HAS_RUN;
			}
			// Another try with the same key may have taken the generation over; it is not
			// this attempt's to drop.
			boolean isOthers = generation.isKeyed() && generation.reader()
				.filter((r) -> r.link() != link || r.stream().call() != bar.stream().call())
				.isPresent();
			return isOthers ? BarOutcome.UNKNOWN : BarOutcome.BARRED;
		}
		if (this.spent.contains(bar.generation())) {
			return BarOutcome.HAS_RUN;
		}
		return (bar.incarnation() == this.incarnation) ? BarOutcome.BARRED : BarOutcome.UNKNOWN;
	}

	private BarOutcome barKey(OnceKey key, long now) {
		String name = key.generationName();
		Generation generation = this.generations.get(name);
		if ((generation != null && !generation.state().isBeforeRun()) || this.spent.contains(name)) {
			return BarOutcome.HAS_RUN;
		}
		Optional<FleetConfiguration> configuration = this.ledger.current();
		if (generation == null && !configuration.filter((c) -> this.keyGuard.remembersWindow(c, now)).isPresent()) {
			return BarOutcome.UNKNOWN;
		}
		if (generation != null) {
			refuseBeforeRun(generation, Refusal.notRun(RefusalReason.WITHDRAWN, "another home barred the key",
					Duration.ofMillis(LEAST_RETRY_MILLIS)), now);
		}
		this.barred.add(name, now + memoryMillis());
		this.audit.record(AuditEvent.of(AuditKind.BARRED, name, this.target, "a later home asked for it"));
		return BarOutcome.BARRED;
	}

	private void release(Generation generation, boolean mayReturn, long now) {
		this.delivery.lose(generation, now);
		if (!mayReturn && !generation.isKeyed()) {
			cancel(generation, "its caller left", now);
		}
		else if (generation.state().isBeforeRun()) {
			cancel(generation, "its caller left before it ran", now);
		}
	}

	private void cancel(Generation generation, String cause, long now) {
		if (generation.state().isOver()) {
			return;
		}
		this.counters.cancelled().increment();
		this.audit.record(event(AuditKind.CANCELLED, generation, cause));
		boolean started = generation.hasStarted();
		drop(generation, now);
		if (started) {
			this.outputs.cancel(generation.name());
			this.spent.add(generation.name(), now + memoryMillis());
		}
		admit(now);
	}

	private void tick(Generation generation, long now) {
		switch (generation.state()) {
			case ASKING -> {
				if (now >= generation.deadline()) {
					refuseBeforeRun(generation, inDoubt(now, "no answer about earlier tries in time"), now);
				}
			}
			case QUEUED -> tickQueued(generation, now);
			case RUNNING, PAUSED -> tickStarted(generation, now);
			case ENDED, FAILED -> {
				if (generation.reader().isEmpty() && now - generation.idleSince() >= holdMillis(generation)) {
					this.generations.remove(generation.name());
					this.spent.add(generation.name(), now + memoryMillis());
				}
			}
		}
	}

	private void tickQueued(Generation generation, long now) {
		if (now >= generation.deadline()) {
			refuseBeforeRun(generation,
					Refusal.notRun(RefusalReason.WAIT_TOO_LONG, "no place came free within the caller's patience",
							this.admission.retryAfter(generation.priority(), now)),
					now);
		}
		else if (isOrphaned(generation, now)) {
			cancel(generation, "its reader was lost before it ran", now);
		}
	}

	private void tickStarted(Generation generation, long now) {
		if (!generation.isKeyed() && isOrphaned(generation, now)) {
			cancel(generation, "its reader was lost and did not come back", now);
			return;
		}
		if (!generation.isReattaching()) {
			return;
		}
		if (now >= generation.reattachUntil()) {
			fail(generation, lostAnswer(generation, "the target did not answer in time"), now);
		}
		else if (generation.reattachAt() != 0 && now >= generation.reattachAt()) {
			generation.reattachSent();
			this.outputs.reattach(generation.name(), generation.log().size());
		}
	}

	private boolean isOrphaned(Generation generation, long now) {
		return generation.reader().isEmpty() && now - generation.readerLostAt() >= this.settings.orphanMillis();
	}

	private void askForOutput(Generation generation, long now) {
		generation.startReattaching(now + this.settings.reattachMillis(), now);
		generation.reattachSent();
		this.outputs.reattach(generation.name(), generation.log().size());
	}

	private void refusedByTarget(Generation generation, TargetLoss loss, long now) {
		if (generation.log().size() > 0 || generation.isReattaching()) {
			generation.startReattaching(now + this.settings.reattachMillis(), now + REATTACH_GAP_MILLIS);
			return;
		}
		String detail = (loss == TargetLoss.NOT_SENT) ? "the target could not be reached"
				: "the target refused the request";
		this.admission.remove(generation);
		refuseBeforeRun(generation,
				Refusal.notRun(RefusalReason.TARGET_REFUSED, detail, Duration.ofMillis(LEAST_RETRY_MILLIS)), now);
	}

	private static Refusal lostAnswer(Generation generation, String detail) {
		return (generation.log().size() > 0) ? Refusal.ran(RefusalReason.TARGET_LOST, detail)
				: Refusal.mayHaveRun(RefusalReason.TARGET_LOST, detail);
	}

	private void fail(Generation generation, Refusal refusal, long now) {
		this.counters.refused().increment();
		this.audit.record(event(AuditKind.REFUSED, generation, refusal.detail()));
		this.admission.remove(generation);
		generation.fail(refusal, now);
		if (!generation.isKeyed()) {
			this.outputs.cancel(generation.name());
		}
		this.delivery.pump(generation, now);
		admit(now);
	}

	// Refuse a request that was never handed to the target, or that the target is known
	// not to have run.
	private void refuseBeforeRun(Generation generation, Refusal refusal, long now) {
		Optional<Reader> reader = generation.reader();
		drop(generation, now);
		reader.ifPresent((r) -> refuse(r.link(), r.stream(), generation.work(), refusal));
	}

	private void refuse(long link, StreamId stream, Work work, Refusal refusal) {
		this.counters.refused().increment();
		this.audit.record(new AuditEvent(AuditKind.REFUSED, work.requestId(), work.account(), this.target,
				refusal.verdict().label() + ", " + refusal.reason().label() + ": " + refusal.detail()));
		this.outputs.send(link, new SidecarMessage.Refused(stream, refusal));
	}

	// Forget a generation; if it is one attempt's alone, its name can't run any more.
	private void drop(Generation generation, long now) {
		this.generations.remove(generation.name());
		this.delivery.lose(generation, now);
		this.admission.remove(generation);
		if (!generation.isKeyed()) {
			this.barred.add(generation.name(), now + memoryMillis());
		}
	}

	private void sendQueuedBack(RefusalReason reason, String detail, long now) {
		for (Generation generation : new ArrayList<>(this.generations.values())) {
			if (generation.state().isBeforeRun()) {
				refuseBeforeRun(generation, Refusal.notRun(reason, detail, Duration.ofMillis(RETRY_ELSEWHERE_MILLIS)),
						now);
			}
		}
	}

	private void noticePause(long now) {
		long gap = now - this.lastInputAt;
		this.lastInputAt = now;
		if (gap < this.settings.pauseMillis()) {
			return;
		}
		this.counters.pauses().increment();
		this.audit.record(AuditEvent.of(AuditKind.PAUSED, this.target, this.target, "no input for " + gap + " ms"));
		sendQueuedBack(RefusalReason.WITHDRAWN, "the sidecar was paused while the request waited", now);
	}

	private Refusal inDoubt(long now, String detail) {
		return new Refusal(Verdict.MAY_HAVE_RUN, RefusalReason.KEY_IN_DOUBT, "not run this time: " + detail,
				Optional.of(Duration.ofMillis(memoryMillis())));
	}

	private long memoryMillis() {
		return this.ledger.current().map((c) -> c.keyTimes().memoryMillis()).orElse(UNKNOWN_MEMORY_MILLIS);
	}

	private long holdMillis(Generation generation) {
		return generation.isKeyed() ? memoryMillis() : this.settings.holdMillis();
	}

	private double weight(Work work) {
		return this.ledger.current().flatMap((c) -> c.accountByName(work.account())).map((a) -> a.weight()).orElse(1.0);
	}

	private AuditEvent event(AuditKind kind, Generation generation, String cause) {
		return new AuditEvent(kind, generation.name(), generation.account(), this.target, cause);
	}

}
