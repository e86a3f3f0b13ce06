package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.time.Timers;

/**
 * Keeps copies of running generations that have no running copy, while links and memory
 * are free.
 * <p>
 * A copy is made on order and brought up to date now and then, one generation at a time.
 * When its engine leaves only the newest part is still to be copied; when its engine dies
 * the generation goes on at the copy.
 */
final class StandbyCopies {

	/** How long a generation runs before it is worth a copy, in milliseconds. */
	private static final long FIRST_MILLIS = 700;

	/**
	 * How often a copy is brought up to date, in milliseconds; engines free a copy that
	 * was left alone for five seconds.
	 */
	private static final long REFRESH_MILLIS = 2_500;

	/** The wait before it is looked again whether there is room, in milliseconds. */
	private static final long AGAIN_MILLIS = 400;

	/** The wait while another copy is under way, in milliseconds; a refresh takes 20. */
	private static final long BUSY_MILLIS = 60;

	/**
	 * How long links are left to moves after an engine's leaving was heard, in
	 * milliseconds.
	 */
	private static final long QUIET_MILLIS = 1_600;

	/**
	 * How full the fleet's memory may be for new copies: what the copies hold is missing
	 * to generations, which engines preempt for it, since some engine is away at any
	 * time.
	 */
	private static final double FLEET_FULLNESS = 0.5;

	/** How full the fleet's memory may be for a copy to be kept. */
	private static final double KEPT_FULLNESS = 0.65;

	/** How full an engine's memory may be for a copy to go there. */
	private static final double ENGINE_FULLNESS = 0.82;

	private final TargetDirectory directory;

	private final Eligibility eligibility;

	private final TargetBeliefs beliefs;

	private final TargetChooser chooser;

	private final CopyTurn turn;

	private final Timers timers;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final boolean inUse;

	private Optional<DirectCall> active = Optional.empty();

	/** The engines that the active call's generation is copied from and to. */
	private List<ListedTarget> activeEngines = List.of();

	/** When links are left to moves no more, by data centre. */
	private final Map<String, Long> quietUntil = new HashMap<>();

	StandbyCopies(TargetDirectory directory, Eligibility eligibility, TargetBeliefs beliefs, TargetChooser chooser,
			CopyTurn turn, Timers timers, DispatchOutputs outputs, AuditSink audit, boolean inUse) {
		this.directory = directory;
		this.eligibility = eligibility;
		this.beliefs = beliefs;
		this.chooser = chooser;
		this.turn = turn;
		this.timers = timers;
		this.outputs = outputs;
		this.audit = audit;
		this.inUse = inUse;
	}

	/**
	 * Take that an engine is leaving: for a while the links in its data centre are left
	 * to moves, and no copy is begun there.
	 * @param target the engine
	 * @param now the time in milliseconds
	 */
	void leaving(ListedTarget target, long now) {
		this.quietUntil.put(target.dataCentre(), now + QUIET_MILLIS);
	}

	/**
	 * Look after an attempt's generation from its first event on.
	 * @param call the call
	 * @param attempt the attempt
	 * @param engine what the service's engines can do
	 * @param now the time in milliseconds
	 */
	void watch(DirectCall call, Attempt attempt, Optional<EngineSpec> engine, long now) {
		boolean isLong = call.request().work().filter((w) -> !w.isShort()).isPresent();
		if (this.inUse && isLong && engine.filter(EngineSpec::moves).isPresent()) {
			lookAt(call, attempt, engine.get(), now + FIRST_MILLIS);
		}
	}

	/**
	 * Take how a copy ended that no move had ordered.
	 * @param call the call
	 * @param order the order
	 * @param result how it ended
	 * @param now the time in milliseconds
	 */
	void copied(DirectCall call, CopyOrder order, CopyResult result, long now) {
		endActive(call);
		Standby standby = call.standby().orElse(null);
		if (standby == null || !standby.destination().isSameRun(order.destination())) {
			if (!result.handle().isEmpty()) {
				this.outputs.releaseCopy(order.source(), result.handle());
			}
			return;
		}
		if (result.outcome() == CopyResult.Outcome.COPIED) {
			standby.copied(result.handle(), call.attempt().map(Attempt::heldTokens).orElse(0L));
			return;
		}
		record(call, order.destination(), "standby copy ended: " + result.outcome());
		if (result.outcome() != CopyResult.Outcome.NO_ANSWER) {
			this.beliefs.of(order.destination()).full(now + StreamMover.AVOID_MILLIS);
		}
		drop(call);
	}

	/**
	 * Let go of a call's copy.
	 * @param call the call
	 */
	void drop(DirectCall call) {
		call.standby().ifPresent((s) -> {
			take(call);
			if (!s.handle().isEmpty()) {
				this.outputs.releaseCopy(s.source(), s.handle());
			}
		});
	}

	/**
	 * Hand a call's copy over to those who use it.
	 * @param call the call
	 * @return the copy, if there is one
	 */
	Optional<Standby> take(DirectCall call) {
		Optional<Standby> standby = call.standby();
		standby.ifPresent((s) -> {
			this.beliefs.change(s.destination(), (b) -> b.held(-s.promisedTokens()));
			call.standby(Optional.empty());
		});
		endActive(call);
		return standby;
	}

	private void endActive(DirectCall call) {
		if (this.active.filter((c) -> c == call).isPresent()) {
			this.active = Optional.empty();
			this.activeEngines.forEach((e) -> this.beliefs.change(e, (b) -> b.copying(-1)));
			this.activeEngines = List.of();
		}
	}

	private void lookAt(DirectCall call, Attempt attempt, EngineSpec engine, long due) {
		this.timers.at(due, (t) -> look(call, attempt, engine, t));
	}

	private void look(DirectCall call, Attempt attempt, EngineSpec engine, long now) {
		if (call.attempt().orElse(null) != attempt || !this.directory.isStaying(attempt.target())) {
			return;
		}
		boolean hasRunningCopy = attempt.backup().filter((b) -> this.eligibility.isSound(b, now)).isPresent();
		if (hasRunningCopy) {
			lookAt(call, attempt, engine, now + REFRESH_MILLIS);
			return;
		}
		dropIfUseless(call, engine, now);
		dropIfCrowded(call, attempt, engine, now);
		if (this.active.isPresent() || call.copying().isPresent()) {
			lookAt(call, attempt, engine, now + BUSY_MILLIS);
			return;
		}
		Optional<ListedTarget> destination = call.standby()
			.map(Standby::destination)
			.or(() -> choose(call, attempt, engine, now));
		if (destination.isEmpty()) {
			lookAt(call, attempt, engine, now + AGAIN_MILLIS);
			return;
		}
		if (isBusy(attempt.target(), destination.get(), now)) {
			lookAt(call, attempt, engine, now + BUSY_MILLIS);
			return;
		}
		if (call.standby().isEmpty()) {
			begin(call, attempt, destination.get());
		}
		order(call, attempt.target(), destination.get());
		lookAt(call, attempt, engine, now + REFRESH_MILLIS);
	}

	private void dropIfCrowded(DirectCall call, Attempt attempt, EngineSpec engine, long now) {
		boolean isCrowded = call.standby().isPresent()
				&& this.chooser.fleetFullness(attempt.target().service(), engine, now) > KEPT_FULLNESS;
		if (isCrowded) {
			record(call, call.standby().get().destination(), "standby copy given up: the fleet is crowded");
			drop(call);
		}
	}

	private boolean isBusy(ListedTarget source, ListedTarget destination, long now) {
		return now < this.quietUntil.getOrDefault(source.dataCentre(), 0L)
				|| now < this.quietUntil.getOrDefault(destination.dataCentre(), 0L)
				|| !this.turn.isQuiet(source, destination);
	}

	private void order(DirectCall call, ListedTarget source, ListedTarget destination) {
		this.active = Optional.of(call);
		this.activeEngines = List.of(source, destination);
		this.activeEngines.forEach((e) -> this.beliefs.change(e, (b) -> b.copying(1)));
		this.outputs.copy(call.number(), new CopyOrder(call.request().id(), source, destination, false));
	}

	private Optional<ListedTarget> choose(DirectCall call, Attempt attempt, EngineSpec engine, long now) {
		ListedTarget source = attempt.target();
		if (this.chooser.fleetFullness(source.service(), engine, now) > FLEET_FULLNESS) {
			return Optional.empty();
		}
		return this.chooser.chooseBackup(source, call.scopeWithout(Set.of()), engine, attempt.heldTokens(),
				ENGINE_FULLNESS, now);
	}

	private void begin(DirectCall call, Attempt attempt, ListedTarget destination) {
		long tokens = attempt.heldTokens();
		this.beliefs.change(destination, (b) -> b.held(tokens));
		call.standby(Optional.of(new Standby(attempt.target(), destination, tokens)));
		record(call, destination, "standby copy begins");
	}

	/**
	 * Give a call's copy up if its engine is leaving or evacuated, or its memory is
	 * needed.
	 * @param call the call
	 * @param engine what the service's engines can do
	 * @param now the time in milliseconds
	 */
	void dropIfUseless(DirectCall call, EngineSpec engine, long now) {
		boolean isUseless = call.standby()
			.filter((s) -> !this.eligibility.isSound(s.destination(), now)
					|| this.chooser.fullness(s.destination(), engine, now) > AttemptSender.CROWDED_FULLNESS)
			.isPresent();
		if (isUseless) {
			record(call, call.standby().get().destination(),
					"standby copy given up: its engine is leaving, evacuated, doubted or crowded");
			drop(call);
		}
	}

	private void record(DirectCall call, ListedTarget target, String cause) {
		this.audit.record(call.event(AuditKind.MOVED, target.id(), cause));
	}

}
