package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.function.Function;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.serving.EngineSpec;

/**
 * Lets a generation whose engine is leaving or lost go on at a copy of its memory.
 * <p>
 * The copy is the one that grows with the run, the one that is kept now and then, or the
 * one that a move has just made. Each going on is a repeated sending, and is counted as
 * one.
 */
final class Continuation {

	private final TargetTrust trust;

	private final RetryWindow retries;

	private final AttemptSender sender;

	private final StandbyCopies standbys;

	private final StreamMover mover;

	private final CallEnding ending;

	private final AuditSink audit;

	private final Beginning beginning;

	private final Function<DirectCall, Optional<EngineSpec>> engines;

	private final boolean copiesAtNotice;

	Continuation(TargetTrust trust, RetryWindow retries, AttemptSender sender, StandbyCopies standbys,
			StreamMover mover, CallEnding ending, AuditSink audit, Beginning beginning,
			Function<DirectCall, Optional<EngineSpec>> engines, boolean copiesAtNotice) {
		this.trust = trust;
		this.retries = retries;
		this.sender = sender;
		this.standbys = standbys;
		this.mover = mover;
		this.ending = ending;
		this.audit = audit;
		this.beginning = beginning;
		this.engines = engines;
		this.copiesAtNotice = copiesAtNotice;
	}

	// Takes a call away from an engine that is leaving.
	void moveAway(DirectCall call, long now) {
		Optional<EngineSpec> engine = this.engines.apply(call);
		if (engine.isEmpty() || call.successor().isPresent()
				|| (call.isStreaming() && goOnAtBackup(call, "its engine is leaving", now))) {
			return;
		}
		copyAway(call, now);
	}

	// Takes a call away that has just begun to run: its running copy is not there yet.
	void copyAway(DirectCall call, long now) {
		if (this.copiesAtNotice && this.engines.apply(call).filter(EngineSpec::moves).isPresent()) {
			this.mover.start(call, now);
		}
	}

	// The run goes on until the copy's engine sends its first event: where there is no
	// copy nothing is lost by having asked.
	boolean goOnAtBackup(DirectCall call, String cause, long now) {
		Optional<ListedTarget> backup = call.attempt()
			.flatMap(Attempt::backup)
			.filter((b) -> this.trust.takesWork(b, now));
		if (backup.isEmpty() || call.successor().isPresent() || !this.retries.tryTake(call.request().service(), now)) {
			return false;
		}
		this.standbys.drop(call);
		this.audit.record(call.event(AuditKind.MOVED, call.attempt().get().target().id(),
				cause + ": goes on at its running copy at " + backup.get().id() + " behind event " + call.lastEvent()));
		ResumePoint point = new ResumePoint(backup.get().address(), call.request().id(), call.lastEventText());
		call.succeedBy(this.beginning.begin(call, backup.get(), Optional.of(point), now));
		return true;
	}

	// For a run that is lost; one that is only to leave is copied on first.
	boolean goOnAtStandby(DirectCall call, String cause, long now) {
		Optional<Standby> standby = call.standby()
			.filter((s) -> !s.handle().isEmpty() && this.trust.takesWork(s.destination(), now));
		Optional<Copying> copying = this.mover.copyAtHand(call, now);
		if ((standby.isEmpty() && copying.isEmpty()) || !this.retries.tryTake(call.request().service(), now)) {
			return false;
		}
		ListedTarget source = call.attempt().get().target();
		ListedTarget destination = standby.map(Standby::destination).orElseGet(() -> copying.get().destination());
		String handle = standby.map(Standby::handle).orElseGet(() -> copying.get().handle());
		this.standbys.take(call);
		this.mover.taken(call, now);
		this.audit.record(call.event(AuditKind.MOVED, source.id(),
				cause + ": goes on at its last copy at " + destination.id() + " behind event " + call.lastEvent()));
		ResumePoint point = new ResumePoint(source.address(), handle, call.lastEventText());
		call.succeedBy(this.beginning.begin(call, destination, Optional.of(point), now));
		return true;
	}

	// The running copy is of no use; the run itself may still be there.
	void goOnWithoutCopy(DirectCall call, long now) {
		if (call.attempt().isEmpty()) {
			this.ending.lost(call, "neither the run nor its copy is left", now);
			return;
		}
		copyAway(call, now);
	}

	// The successor sent its first event: from now on its answer is the caller's.
	void takeOver(DirectCall call, long now) {
		call.attempt().ifPresent((a) -> this.sender.abandon(call, a));
		this.standbys.drop(call);
		this.mover.ended(call, now);
		call.promoteSuccessor();
	}

	// The move is over: the run has stopped, and goes on where its memory stands now.
	void resume(DirectCall call, ListedTarget destination, ResumePoint from, long now) {
		call.attempt().ifPresent((a) -> this.sender.abandon(call, a));
		if (!this.retries.tryTake(call.request().service(), now)) {
			this.ending.lost(call, "the budget for repeated sendings is spent", now);
			return;
		}
		call.use(this.beginning.begin(call, destination, Optional.of(from), now));
	}

	/**
	 * How an attempt begins.
	 */
	@FunctionalInterface
	interface Beginning {

		/**
		 * Send a call's request to a target and watch that its connection comes up.
		 * @param call the call
		 * @param target the target
		 * @param resume where the generation goes on from
		 * @param now the time in milliseconds
		 * @return the attempt
		 */
		Attempt begin(DirectCall call, ListedTarget target, Optional<ResumePoint> resume, long now);

	}

}
