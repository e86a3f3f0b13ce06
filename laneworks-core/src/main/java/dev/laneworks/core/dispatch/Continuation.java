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

	/**
	 * How long a generation may run at its copy without an event while its first engine
	 * works on it too, in milliseconds: 400 ms are allowed, of which the end of either
	 * run takes a part.
	 */
	static final long FIRST_EVENT_MILLIS = 300;

	/**
	 * How long ago the first run may have sent its last event if it is to be relied on,
	 * in milliseconds; a full batch's events come each 60.
	 */
	private static final long ALIVE_MILLIS = 180;

	private final Eligibility eligibility;

	private final RetryWindow retries;

	private final AttemptSender sender;

	private final StandbyCopies standbys;

	private final StreamMover mover;

	private final CallEnding ending;

	private final PoisonGuard poison;

	private final AuditSink audit;

	private final Beginning beginning;

	private final Function<DirectCall, Optional<EngineSpec>> engines;

	private final boolean copiesAtNotice;

	Continuation(Eligibility eligibility, RetryWindow retries, AttemptSender sender, StandbyCopies standbys,
			StreamMover mover, CallEnding ending, PoisonGuard poison, AuditSink audit, Beginning beginning,
			Function<DirectCall, Optional<EngineSpec>> engines, boolean copiesAtNotice) {
		this.eligibility = eligibility;
		this.retries = retries;
		this.sender = sender;
		this.standbys = standbys;
		this.mover = mover;
		this.ending = ending;
		this.poison = poison;
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
			.filter((b) -> this.eligibility.takesWork(b, now));
		if (backup.isEmpty() || call.successor().isPresent() || this.poison.isQuarantined(call, now)
				|| !this.retries.tryTake(call.request().service(), now)) {
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
			.filter((s) -> !s.handle().isEmpty() && this.eligibility.takesWork(s.destination(), now));
		Optional<Copying> copying = this.mover.copyAtHand(call, now);
		if ((standby.isEmpty() && copying.isEmpty()) || this.poison.isQuarantined(call, now)
				|| !this.retries.tryTake(call.request().service(), now)) {
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

	/**
	 * Take that a successor has sent no event for as long as two runs of a generation may
	 * work side by side: only one of them goes on, the first if it still sends events.
	 * @param call the call
	 * @param successor the attempt
	 * @param now the time in milliseconds
	 */
	void overdue(DirectCall call, Attempt successor, long now) {
		if (!call.isSuccessor(successor) || call.attempt().isEmpty()) {
			return;
		}
		boolean isAlive = now - call.lastEventAt() <= ALIVE_MILLIS;
		Attempt given = isAlive ? successor : call.attempt().get();
		this.audit.record(call.event(AuditKind.MOVED, given.target().id(),
				"given up: no event from its copy at " + successor.target().id() + " for " + FIRST_EVENT_MILLIS
						+ " ms, last event of the first run " + (now - call.lastEventAt()) + " ms ago"));
		this.sender.abandon(call, given);
		if (isAlive) {
			goOnWithoutCopy(call, now);
		}
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
		call.stoppedAt(call.attempt().map(Attempt::target).filter((t) -> !t.id().equals(destination.id())));
		call.attempt().ifPresent((a) -> this.sender.abandon(call, a));
		if (!this.eligibility.takesReturn(destination, now)) {
			this.ending.lost(call,
					"what is left of it is at a target that is withheld, wants rest or is in a data centre that is evacuated",
					now);
			return;
		}
		if (!this.retries.tryTake(call.request().service(), now)) {
			this.ending.lost(call, "the budget for repeated sendings is spent", now);
			return;
		}
		call.use(this.beginning.begin(call, destination, Optional.of(from), now));
	}

	/**
	 * Let go of the copies of a call that a run of an engine held, and of what it stopped
	 * there: the run is over, and the one after it holds nothing.
	 * @param call the call
	 * @param former the run that is over
	 */
	void forget(DirectCall call, ListedTarget former) {
		call.attempt()
			.filter((a) -> a.backup().filter(former::isSameRun).isPresent())
			.ifPresent((a) -> this.sender.dropBackup(call, a, "its engine started again"));
		call.standby().filter((s) -> s.destination().isSameRun(former)).ifPresent((s) -> this.standbys.drop(call));
		call.stoppedAt(call.stoppedAt().filter((t) -> !t.isSameRun(former)));
	}

	/**
	 * Let a stopped run whose copy was refused go on where it stopped: the memory stands
	 * there still, and the run is copied away anew once it answers.
	 * @param call the call
	 * @param refused the attempt at the copy
	 * @param cause why it was not taken
	 * @param now the time in milliseconds
	 * @return whether it was sent there
	 */
	boolean goBack(DirectCall call, Attempt refused, String cause, long now) {
		Optional<ListedTarget> source = call.stoppedAt().filter((s) -> this.eligibility.takesReturn(s, now));
		call.stoppedAt(Optional.empty());
		if (source.isEmpty() || refused.resume().isEmpty() || !this.retries.tryTake(call.request().service(), now)) {
			return false;
		}
		this.audit.record(call.event(AuditKind.MOVED, source.get().id(),
				"goes back behind event " + call.lastEvent() + ": " + cause + " at " + refused.target().id()));
		call.use(this.beginning.begin(call, source.get(), refused.resume(), now));
		return true;
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
