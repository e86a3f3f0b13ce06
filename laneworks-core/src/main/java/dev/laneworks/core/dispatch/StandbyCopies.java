package dev.laneworks.core.dispatch;

import java.util.Optional;

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
	 * How full the fleet's memory may be for new copies; fuller than for running copies,
	 * since these give way at once.
	 */
	private static final double FLEET_FULLNESS = 0.78;

	/** How full an engine's memory may be for a copy to go there. */
	private static final double ENGINE_FULLNESS = 0.82;

	private final TargetDirectory directory;

	private final TargetBeliefs beliefs;

	private final TargetChooser chooser;

	private final CopyTurn turn;

	private final Timers timers;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private Optional<DirectCall> active = Optional.empty();

	/** The engine that the active call's generation is copied from. */
	private ListedTarget activeSource;

	private long quietUntil;

	StandbyCopies(TargetDirectory directory, TargetBeliefs beliefs, TargetChooser chooser, CopyTurn turn, Timers timers,
			DispatchOutputs outputs, AuditSink audit) {
		this.directory = directory;
		this.beliefs = beliefs;
		this.chooser = chooser;
		this.turn = turn;
		this.timers = timers;
		this.outputs = outputs;
		this.audit = audit;
	}

	/**
	 * Take that an engine is leaving: for a while links are left to moves, and no copy is
	 * begun.
	 * @param now the time in milliseconds
	 */
	void leaving(long now) {
		this.quietUntil = now + QUIET_MILLIS;
	}

	/**
	 * Look after an attempt's generation from its first event on.
	 * @param call the call
	 * @param attempt the attempt
	 * @param engine what the service's engines can do
	 * @param now the time in milliseconds
	 */
	void watch(DirectCall call, Attempt attempt, Optional<EngineSpec> engine, long now) {
		boolean isLong = call.request().work().filter((w) -> w.maxTokens() >= AttemptSender.LONG_TOKENS).isPresent();
		if (isLong && engine.filter(EngineSpec::moves).isPresent()) {
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
		if (standby == null || !standby.destination().id().equals(order.destination().id())) {
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
			this.beliefs.change(this.activeSource, (b) -> b.copying(-1));
		}
	}

	private void lookAt(DirectCall call, Attempt attempt, EngineSpec engine, long due) {
		this.timers.at(due, (t) -> look(call, attempt, engine, t));
	}

	private void look(DirectCall call, Attempt attempt, EngineSpec engine, long now) {
		if (call.attempt().orElse(null) != attempt || !this.directory.takesWork(attempt.target().id())) {
			return;
		}
		boolean hasRunningCopy = attempt.backup().filter((b) -> this.directory.takesWork(b.id())).isPresent();
		if (hasRunningCopy) {
			lookAt(call, attempt, engine, now + REFRESH_MILLIS);
			return;
		}
		dropIfUseless(call, engine, now);
		boolean isBusy = this.active.isPresent() || now < this.quietUntil || call.copying().isPresent()
				|| !this.turn.isQuiet();
		if (isBusy) {
			lookAt(call, attempt, engine, now + BUSY_MILLIS);
			return;
		}
		if (call.standby().isEmpty() && !begin(call, attempt, engine, now)) {
			lookAt(call, attempt, engine, now + AGAIN_MILLIS);
			return;
		}
		this.active = Optional.of(call);
		this.activeSource = attempt.target();
		this.beliefs.change(this.activeSource, (b) -> b.copying(1));
		this.outputs.copy(call.number(),
				new CopyOrder(call.request().id(), attempt.target(), call.standby().get().destination(), false));
		lookAt(call, attempt, engine, now + REFRESH_MILLIS);
	}

	private boolean begin(DirectCall call, Attempt attempt, EngineSpec engine, long now) {
		long tokens = attempt.heldTokens();
		ListedTarget source = attempt.target();
		if (this.chooser.fleetFullness(source.service(), engine, now) > FLEET_FULLNESS) {
			return false;
		}
		Optional<ListedTarget> destination = this.chooser.chooseBackup(source, engine, tokens, ENGINE_FULLNESS, now);
		destination.ifPresent((d) -> {
			this.beliefs.change(d, (b) -> b.held(tokens));
			call.standby(Optional.of(new Standby(source, d, tokens)));
			record(call, d, "standby copy begins");
		});
		return destination.isPresent();
	}

	/**
	 * Give a call's copy up if its engine is leaving or its memory is needed.
	 * @param call the call
	 * @param engine what the service's engines can do
	 * @param now the time in milliseconds
	 */
	void dropIfUseless(DirectCall call, EngineSpec engine, long now) {
		boolean isUseless = call.standby()
			.filter((s) -> !this.directory.takesWork(s.destination().id())
					|| this.chooser.fullness(s.destination(), engine, now) > AttemptSender.CROWDED_FULLNESS)
			.isPresent();
		if (isUseless) {
			record(call, call.standby().get().destination(), "standby copy given up: its engine is leaving or crowded");
			drop(call);
		}
	}

	private void record(DirectCall call, ListedTarget target, String cause) {
		this.audit.record(call.event(AuditKind.MOVED, target.id(), cause));
	}

}
