package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.shares.ReservationListener;
import dev.laneworks.core.speed.GenerationNeeds;
import dev.laneworks.core.waiting.EngineMemory;

/**
 * Selects targets for attempts, sends the attempts, and accounts for the engine memory
 * that they reserve.
 */
final class AttemptSender {

	/**
	 * Memory utilization of an engine above which it receives no new live copies, which
	 * must leave memory for generations.
	 */
	private static final double MAX_BACKUP_UTILIZATION = 0.75;

	/**
	 * Memory utilization of all engines together above which no new live copies are made;
	 * leaves room for the generations of one lost engine.
	 */
	private static final double MAX_FLEET_UTILIZATION = 0.6;

	/** Memory utilization of an engine above which its live copies are dropped. */
	static final double MAX_UTILIZATION_WITH_COPIES = 0.9;

	/**
	 * Granularity in which the growth of a generation is recorded; half of the tokens
	 * reserved ahead. Limits the number of updates to other entries.
	 */
	private static final long GROWTH_STEP_TOKENS = 125;

	private static final double PERCENT = 100;

	private final TargetDirectory directory;

	private final SendGuard guard;

	private final Eligibility eligibility;

	private final TargetEstimates estimates;

	private final TargetChooser chooser;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final Mechanisms mechanisms;

	private final ToIntFunction<DirectCall> enginePriority;

	private ReservationListener reservations = ReservationListener.NONE;

	AttemptSender(TargetDirectory directory, SendGuard guard, Eligibility eligibility, TargetEstimates estimates,
			TargetChooser chooser, DispatchOutputs outputs, AuditSink audit, Mechanisms mechanisms,
			ToIntFunction<DirectCall> enginePriority) {
		this.directory = directory;
		this.guard = guard;
		this.eligibility = eligibility;
		this.estimates = estimates;
		this.chooser = chooser;
		this.outputs = outputs;
		this.audit = audit;
		this.mechanisms = mechanisms;
		this.enginePriority = enginePriority;
	}

	// Registers the listener for changes of the memory that attempts reserve.
	void onReservation(ReservationListener listener) {
		this.reservations = listener;
	}

	Optional<ListedTarget> choose(DirectCall call, Optional<EngineSpec> engine, long now) {
		Optional<GenerationSize> size = call.request().size();
		if (engine.isPresent() && size.isPresent()) {
			return this.chooser.chooseEngine(call.filter(), engine.get(), size.get(),
					needs(call, engine.get(), size.get()), now);
		}
		return this.chooser.choosePlain(call.filter(), call.request().route().goalMillis(), now);
	}

	private static GenerationNeeds needs(DirectCall call, EngineSpec engine, GenerationSize size) {
		long tokens = size.expectedTokens().orElse(size.maxTokens());
		return new GenerationNeeds(tokens / Math.max(1, engine.tokensPerEvent()),
				call.request().route().eventIntervalGoalMillis(), call.request().route().goalMillis());
	}

	Optional<ListedTarget> chooseWithRoom(DirectCall call, EngineSpec engine, double maxUtilization, long now) {
		GenerationSize size = call.request().size().orElseThrow();
		return this.chooser.chooseEngineWithRoom(call.filter(), engine, size, needs(call, engine, size), maxUtilization,
				now);
	}

	Optional<ListedTarget> chooseLeastUtilized(DirectCall call, EngineSpec engine, long now) {
		return this.chooser.chooseLeastUtilized(call.filter(), engine, now);
	}

	/**
	 * Return the memory utilization of an engine if it also executed the generation of a
	 * call.
	 * @param call the request being dispatched
	 * @param target the engine to check
	 * @param engine the capacity of the engines of the service
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the reserved share of its memory; above 1 if it would be overcommitted
	 */
	double utilizationWith(DirectCall call, ListedTarget target, EngineSpec engine, long now) {
		return this.chooser.utilization(target, engine, now)
				+ (double) reservedTokens(call, Optional.of(engine)) / engine.memoryTokens();
	}

	// Sums the memory of all engines of a service that accept requests, in tokens.
	double memoryTokens(String service, EngineSpec engine) {
		return (double) this.eligibility.acceptingTargets(service).size() * engine.memoryTokens();
	}

	EngineMemory memory(String service, EngineSpec engine, long now) {
		return new EngineMemory(memoryTokens(service, engine), this.chooser.fleetUtilization(service, engine, now));
	}

	NoTargetReason findNoTargetReason(DirectCall call, long now) {
		return this.eligibility.findNoTargetReason(call.filter(), now);
	}

	boolean hasAlternative(DirectCall call, ListedTarget current, long now) {
		return this.eligibility.targets(call.filter(), now).stream().anyMatch((t) -> !t.id().equals(current.id()));
	}

	/**
	 * Send the request of a call to a target. The caller of this method must register the
	 * attempt as the current one or as the successor before the target can answer.
	 * @param call the request being dispatched
	 * @param target the target to send to
	 * @param engine the capacity of the engines of the service; empty for a plain service
	 * @param resume the point from which the generation resumes; empty to start it
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the new attempt
	 */
	Attempt send(DirectCall call, ListedTarget target, Optional<EngineSpec> engine, Optional<ResumePoint> resume,
			long now) {
		// A moved generation gets no live copy: copying its entire KV cache would use
		// links that other generations on the same engine need for their moves.
		Optional<ListedTarget> backup = resume.isPresent() ? Optional.empty()
				: engine.flatMap((e) -> chooseBackup(call, target, e, now));
		Attempt attempt = call.begin(target, resume, backup, now);
		this.audit.record(call.event(AuditKind.ROUTED, target.id(), "attempt " + attempt.number()
				+ ", own requests there " + this.estimates.of(target).inFlight() + ", all requests "
				+ Math.round(this.estimates.requests(target, now))
				+ engine.map((e) -> ", memory " + Math.round(PERCENT * this.chooser.utilization(target, e, now)) + "%")
					.orElse("")
				+ ", directory of " + this.directory.size() + this.guard.describeView(target, now) + ", left out "
				+ this.eligibility.countExcluded(call.filter(), now) + this.estimates.of(target).speed().describe(now)
				+ this.chooser.nearTargets().describe(target)
				+ backup.map((b) -> ", copy grows at " + b.id()).orElse("")
				+ resume.map((r) -> ", resumes after event " + r.lastEvent()).orElse("") + call.endWait(now)));
		this.estimates.update(target, TargetEstimate::requestStarted);
		this.eligibility.recordSent(target, now);
		reserve(call, attempt, reservedTokens(call, engine));
		if (resume.isEmpty()) {
			this.chooser.nearTargets().recordSent(target);
			recordPromptTokensAhead(attempt, engine, now);
			updatePendingPromptTokens(attempt, call.request().size().map(GenerationSize::promptTokens).orElse(0L));
		}
		this.outputs.send(call.number(), attempt.number(), target, new SendParameters(call.request().account(),
				this.enginePriority.applyAsInt(call), resume, backup.map(ListedTarget::address)));
		return attempt;
	}

	private void recordPromptTokensAhead(Attempt attempt, Optional<EngineSpec> engine, long now) {
		boolean hasMemory = engine.filter((e) -> this.chooser.utilization(attempt.target(), e, now) <= 1).isPresent();
		attempt.setPromptTokensAhead(hasMemory ? this.estimates.pendingPromptTokens(attempt.target()) : -1);
	}

	/**
	 * Record the first event of an attempt, which shows how fast its engine reads
	 * prompts.
	 * @param call the request being dispatched
	 * @param attempt the attempt that sent the event
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void recordPromptRead(DirectCall call, Attempt attempt, long now) {
		if (attempt.resume().isEmpty() && attempt.promptTokensAhead() >= 0) {
			long own = call.request().size().map(GenerationSize::promptTokens).orElse(0L);
			this.estimates.of(attempt.target())
				.speed()
				.recordPrompt(now - attempt.sentAt(), own + attempt.promptTokensAhead(), now);
		}
	}

	/**
	 * Release the resources that an attempt reserves.
	 * @param call the request being dispatched
	 * @param attempt the attempt that ended
	 */
	void release(DirectCall call, Attempt attempt) {
		reserve(call, attempt, 0);
		updatePendingPromptTokens(attempt, 0);
		this.estimates.update(attempt.target(), TargetEstimate::requestEnded);
		call.end(attempt);
	}

	/**
	 * Record the interval since the previous event of the same attempt, which shows the
	 * speed of its engine.
	 * @param call the request being dispatched
	 * @param attempt the attempt that sent the event
	 * @param engine the capacity of the engines of the service
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void recordInterval(DirectCall call, Attempt attempt, EngineSpec engine, long now) {
		this.estimates.of(attempt.target())
			.speed()
			.recordInterval(now - call.lastEventAt(), engine.tokensPerEvent(), now);
	}

	/**
	 * Record an event of a generation: its prompt has been read, and its memory has
	 * grown.
	 * @param call the request being dispatched
	 * @param attempt the attempt that sent the event
	 * @param engine the capacity of the engines of the service
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void recordGrowth(DirectCall call, Attempt attempt, Optional<EngineSpec> engine, long now) {
		updatePendingPromptTokens(attempt, 0);
		reserve(call, attempt, reservedTokens(call, engine));
		engine.ifPresent((e) -> dropBackupIfCrowded(call, attempt, e, now));
	}

	// Drops a live copy if its memory is needed for generations.
	private void dropBackupIfCrowded(DirectCall call, Attempt attempt, EngineSpec engine, long now) {
		attempt.backup()
			.filter((b) -> this.chooser.utilization(b, engine, now) > MAX_UTILIZATION_WITH_COPIES)
			.ifPresent((b) -> dropBackup(call, attempt, "memory there is "
					+ Math.round(PERCENT * this.chooser.utilization(b, engine, now)) + "% reserved"));
	}

	/**
	 * Drop the live copy of an attempt, unless the generation already resumes at it.
	 * @param call the request being dispatched
	 * @param attempt the attempt whose copy is dropped
	 * @param cause the reason for the audit log
	 */
	void dropBackup(DirectCall call, Attempt attempt, String cause) {
		if (attempt.backup().isEmpty() || call.successor().isPresent()) {
			return;
		}
		ListedTarget backup = attempt.backup().get();
		this.audit.record(call.event(AuditKind.MOVED, backup.id(), "its live copy is dropped: " + cause));
		this.estimates.update(backup, (b) -> b.addReservedTokens(-attempt.reservedTokens()));
		attempt.dropBackup();
		this.outputs.releaseCopy(attempt.target(), call.request().id());
	}

	/**
	 * Close the connection of an attempt and release the resources that it reserves.
	 * @param call the request being dispatched
	 * @param attempt the attempt to abandon
	 */
	void abandon(DirectCall call, Attempt attempt) {
		this.outputs.abandon(call.number(), attempt.number());
		// The engine would keep the copy of an interrupted execution for seconds.
		attempt.backup()
			.filter((b) -> call.successor().filter((s) -> s.target().id().equals(b.id())).isEmpty())
			.ifPresent((b) -> this.outputs.releaseCopy(b, call.request().id()));
		release(call, attempt);
	}

	private static long reservedTokens(DirectCall call, Optional<EngineSpec> engine) {
		long generated = call.eventCount() * engine.map(EngineSpec::tokensPerEvent).orElse(0);
		long roundedDown = generated - generated % GROWTH_STEP_TOKENS;
		return call.request().size().map((w) -> w.reservedTokens(roundedDown)).orElse(0L);
	}

	private void reserve(DirectCall call, Attempt attempt, long tokens) {
		long change = tokens - attempt.reservedTokens();
		if (change == 0) {
			return;
		}
		attempt.setReservedTokens(tokens);
		this.reservations.reservationChanged(call.request().service(), call.request().account(), change);
		this.estimates.update(attempt.target(), (b) -> b.addReservedTokens(change));
		attempt.backup().ifPresent((t) -> this.estimates.update(t, (b) -> b.addReservedTokens(change)));
	}

	private void updatePendingPromptTokens(Attempt attempt, long tokens) {
		long change = tokens - attempt.pendingPromptTokens();
		if (change != 0) {
			attempt.setPendingPromptTokens(tokens);
			this.estimates.update(attempt.target(), (b) -> b.addPendingPromptTokens(change));
		}
	}

	private Optional<ListedTarget> chooseBackup(DirectCall call, ListedTarget target, EngineSpec engine, long now) {
		Optional<GenerationSize> size = call.request().size();
		if (!this.mechanisms.isEnabled(Mechanism.RUNNING_COPIES) || !engine.supportsBackups() || size.isEmpty()
				|| size.get().isShort()
				|| this.chooser.fleetUtilization(target.service(), engine, now) > MAX_FLEET_UTILIZATION) {
			return Optional.empty();
		}
		return this.chooser.chooseBackup(target, call.filterWithout(Set.of()), engine, size.get().reservedTokens(0),
				MAX_BACKUP_UTILIZATION, now);
	}

}
