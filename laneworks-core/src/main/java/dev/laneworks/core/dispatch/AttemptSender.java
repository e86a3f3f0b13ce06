package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.serving.EngineSpec;

/**
 * Chooses targets for attempts, sends them off and keeps count of what they hold.
 */
final class AttemptSender {

	/**
	 * How full the memory of an engine may be for a running copy to go there; copies must
	 * leave room for generations.
	 */
	private static final double BACKUP_FULLNESS = 0.75;

	/**
	 * How full the memory of all engines together may be for new running copies; an
	 * engine of six is away at any time, and what it ran has to find room.
	 */
	private static final double FLEET_FULLNESS = 0.6;

	/**
	 * How full the memory of an engine may become before running copies there give way.
	 */
	static final double CROWDED_FULLNESS = 0.9;

	/**
	 * In what steps the growth of a generation is counted, in tokens; half of the room
	 * that it is given ahead. Each step is told to other entries.
	 */
	private static final long GROWTH_STEP_TOKENS = 125;

	private static final double PERCENT = 100;

	private final TargetDirectory directory;

	private final Eligibility eligibility;

	private final TargetBeliefs beliefs;

	private final TargetChooser chooser;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final Mechanisms mechanisms;

	AttemptSender(TargetDirectory directory, Eligibility eligibility, TargetBeliefs beliefs, TargetChooser chooser,
			DispatchOutputs outputs, AuditSink audit, Mechanisms mechanisms) {
		this.directory = directory;
		this.eligibility = eligibility;
		this.beliefs = beliefs;
		this.chooser = chooser;
		this.outputs = outputs;
		this.audit = audit;
		this.mechanisms = mechanisms;
	}

	Optional<ListedTarget> choose(DirectCall call, Optional<EngineSpec> engine, long now) {
		Optional<EngineWork> work = call.request().work();
		if (engine.isPresent() && work.isPresent()) {
			return this.chooser.chooseEngine(call.scope(), engine.get(), work.get(), now);
		}
		return this.chooser.choosePlain(call.scope(), now);
	}

	// The engine with the most room for a call's generation.
	Optional<ListedTarget> chooseLeastFull(DirectCall call, EngineSpec engine, long now) {
		return this.chooser.chooseLeastFull(call.scope(), engine, now);
	}

	/**
	 * Return how full an engine's memory would be with a call's generation.
	 * @param call the call
	 * @param target the engine
	 * @param engine what it can do
	 * @param now the time in milliseconds
	 * @return the share that would be promised
	 */
	double fullnessWith(DirectCall call, ListedTarget target, EngineSpec engine, long now) {
		return this.chooser.fullness(target, engine, now)
				+ (double) heldTokens(call, Optional.of(engine)) / engine.memoryTokens();
	}

	// The memory of all engines of a service that take work, in tokens.
	double memoryTokens(String service, EngineSpec engine) {
		return (double) this.eligibility.serving(service).size() * engine.memoryTokens();
	}

	// Why no target is left for a call.
	Shortage shortage(DirectCall call, long now) {
		return this.eligibility.shortage(call.scope(), now);
	}

	boolean hasUntried(DirectCall call, ListedTarget current, long now) {
		return this.eligibility.targets(call.scope(), now).stream().anyMatch((t) -> !t.id().equals(current.id()));
	}

	/**
	 * Send a call's request to a target; whether the attempt is the call's current one or
	 * its successor is the caller's to say before the target can answer.
	 * @param call the call
	 * @param target the target
	 * @param engine what the service's engines can do
	 * @param resume where the generation goes on from
	 * @param now the time in milliseconds
	 * @return the attempt
	 */
	Attempt send(DirectCall call, ListedTarget target, Optional<EngineSpec> engine, Optional<ResumePoint> resume,
			long now) {
		// A generation that has just moved brings no copy along: its whole memory would
		// go over links that others need to leave the same engine.
		Optional<ListedTarget> backup = resume.isPresent() ? Optional.empty()
				: engine.flatMap((e) -> chooseBackup(call, target, e, now));
		Attempt attempt = call.begin(target, resume, backup, now);
		this.audit.record(call.event(AuditKind.ROUTED, target.id(), "attempt " + attempt.number()
				+ ", own requests there " + this.beliefs.of(target).inFlight() + ", all requests "
				+ Math.round(this.beliefs.requests(target, now))
				+ engine.map((e) -> ", memory " + Math.round(PERCENT * this.chooser.fullness(target, e, now)) + "%")
					.orElse("")
				+ ", directory of " + this.directory.size() + ", left out "
				+ this.eligibility.leftOut(call.scope(), now)
				+ backup.map((b) -> ", copy grows at " + b.id()).orElse("")));
		this.beliefs.change(target, TargetBelief::began);
		this.eligibility.sent(target, now);
		hold(attempt, heldTokens(call, engine));
		if (resume.isEmpty()) {
			unread(attempt, call.request().work().map(EngineWork::promptTokens).orElse(0L));
		}
		this.outputs.send(call.number(), attempt.number(), target, new SendOrder(call.request().account(),
				call.request().route().priority(), resume, backup.map(ListedTarget::address)));
		return attempt;
	}

	/**
	 * Let go of what an attempt holds.
	 * @param call the call
	 * @param attempt the attempt
	 */
	void end(DirectCall call, Attempt attempt) {
		hold(attempt, 0);
		unread(attempt, 0);
		this.beliefs.change(attempt.target(), TargetBelief::ended);
		call.end(attempt);
	}

	/**
	 * Take that a generation sent an event: its prompt is read, and it has grown.
	 * @param call the call
	 * @param attempt the attempt
	 * @param engine what the service's engines can do
	 * @param now the time in milliseconds
	 */
	void grew(DirectCall call, Attempt attempt, Optional<EngineSpec> engine, long now) {
		unread(attempt, 0);
		hold(attempt, heldTokens(call, engine));
		engine.ifPresent((e) -> makeRoom(call, attempt, e, now));
	}

	// A running copy gives way where its memory is needed for generations.
	private void makeRoom(DirectCall call, Attempt attempt, EngineSpec engine, long now) {
		attempt.backup()
			.filter((b) -> this.chooser.fullness(b, engine, now) > CROWDED_FULLNESS)
			.ifPresent((b) -> dropBackup(call, attempt,
					"memory there is " + Math.round(PERCENT * this.chooser.fullness(b, engine, now)) + "% promised"));
	}

	/**
	 * Give up a running copy that its generation does not go on at.
	 * @param call the call
	 * @param attempt the attempt whose copy it is
	 * @param cause why it gives way
	 */
	void dropBackup(DirectCall call, Attempt attempt, String cause) {
		if (attempt.backup().isEmpty() || call.successor().isPresent()) {
			return;
		}
		ListedTarget backup = attempt.backup().get();
		this.audit.record(call.event(AuditKind.MOVED, backup.id(), "its running copy gives way: " + cause));
		this.beliefs.change(backup, (b) -> b.held(-attempt.heldTokens()));
		attempt.dropBackup();
		this.outputs.releaseCopy(attempt.target(), call.request().id());
	}

	/**
	 * Close an attempt's connection and let go of what it holds.
	 * @param call the call
	 * @param attempt the attempt
	 */
	void abandon(DirectCall call, Attempt attempt) {
		this.outputs.abandon(call.number(), attempt.number());
		// The engine keeps the copy of a run that did not end well for seconds.
		attempt.backup()
			.filter((b) -> call.successor().filter((s) -> s.target().id().equals(b.id())).isEmpty())
			.ifPresent((b) -> this.outputs.releaseCopy(b, call.request().id()));
		end(call, attempt);
	}

	private static long heldTokens(DirectCall call, Optional<EngineSpec> engine) {
		long generated = (call.lastEvent() + 1) * engine.map(EngineSpec::tokensPerEvent).orElse(0);
		long counted = generated - generated % GROWTH_STEP_TOKENS;
		return call.request().work().map((w) -> w.heldTokens(counted)).orElse(0L);
	}

	private void hold(Attempt attempt, long tokens) {
		long change = tokens - attempt.heldTokens();
		if (change == 0) {
			return;
		}
		attempt.holds(tokens);
		this.beliefs.change(attempt.target(), (b) -> b.held(change));
		attempt.backup().ifPresent((t) -> this.beliefs.change(t, (b) -> b.held(change)));
	}

	private void unread(Attempt attempt, long tokens) {
		long change = tokens - attempt.unreadTokens();
		if (change != 0) {
			attempt.unread(tokens);
			this.beliefs.change(attempt.target(), (b) -> b.unread(change));
		}
	}

	private Optional<ListedTarget> chooseBackup(DirectCall call, ListedTarget target, EngineSpec engine, long now) {
		Optional<EngineWork> work = call.request().work();
		if (!this.mechanisms.use(Mechanism.RUNNING_COPIES) || !engine.backups() || work.isEmpty()
				|| work.get().isShort() || this.chooser.fleetFullness(target.service(), engine, now) > FLEET_FULLNESS) {
			return Optional.empty();
		}
		return this.chooser.chooseBackup(target, call.scopeWithout(Set.of()), engine, work.get().heldTokens(0),
				BACKUP_FULLNESS, now);
	}

}
