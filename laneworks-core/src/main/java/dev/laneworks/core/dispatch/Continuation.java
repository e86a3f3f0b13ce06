package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.budget.RetryPurpose;
import dev.laneworks.core.budget.SharedRetryBudget;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.time.Timers;

/**
 * Resumes generations at copies of their KV cache when their engine is draining or lost.
 * <p>
 * The copy is a live copy that grows with the generation, a standby copy that is
 * refreshed periodically, or one that a move has just made. Each resumption uses the
 * retry budget.
 */
final class Continuation {

	/**
	 * The longest time for which a generation may execute at its copy without an event
	 * while its first engine still executes it. 400 ms are allowed, and ending either
	 * execution takes part of them.
	 */
	static final long FIRST_EVENT_TIMEOUT_MILLIS = 300;

	/**
	 * The age of the last event up to which the first execution counts as alive; covers
	 * several event intervals of a full batch.
	 */
	private static final long MAX_EVENT_AGE_MILLIS = 180;

	/**
	 * The longest time for which a stopped generation waits for a loan of retries; short
	 * of the pause that callers allow.
	 */
	private static final long LOAN_WAIT_MILLIS = 100;

	private static final long LOAN_POLL_MILLIS = 10;

	private final TargetDirectory directory;

	private final Eligibility eligibility;

	private final SendGuard guard;

	private final SharedRetryBudget retries;

	private final AttemptSender sender;

	private final StandbyCopies standbys;

	private final StreamMover mover;

	private final CallCompletion completion;

	private final PoisonRequestGuard poison;

	private final AuditSink audit;

	private final AttemptStarter starter;

	private final Function<DirectCall, Optional<EngineSpec>> engines;

	private final Predicate<DirectCall> open;

	private final Timers timers;

	private final boolean copiesAtNotice;

	Continuation(TargetDirectory directory, Eligibility eligibility, SendGuard guard, SharedRetryBudget retries,
			AttemptSender sender, StandbyCopies standbys, StreamMover mover, CallCompletion completion,
			PoisonRequestGuard poison, AuditSink audit, AttemptStarter starter,
			Function<DirectCall, Optional<EngineSpec>> engines, Predicate<DirectCall> open, Timers timers,
			boolean copiesAtNotice) {
		this.directory = directory;
		this.eligibility = eligibility;
		this.guard = guard;
		this.retries = retries;
		this.sender = sender;
		this.standbys = standbys;
		this.mover = mover;
		this.completion = completion;
		this.poison = poison;
		this.audit = audit;
		this.starter = starter;
		this.engines = engines;
		this.open = open;
		this.timers = timers;
		this.copiesAtNotice = copiesAtNotice;
	}

	// Moves a call from an engine that is draining.
	void moveFromEngine(DirectCall call, long now) {
		Optional<EngineSpec> engine = this.engines.apply(call);
		if (call.attempt().filter(Attempt::mayBeStopped).isPresent()) {
			startCopy(call, now);
			return;
		}
		if (engine.isEmpty() || call.successor().isPresent() || resumeAtBackup(call, "its engine is leaving", now)) {
			return;
		}
		startCopy(call, now);
	}

	// Starts to copy a call from its engine if copies at the reclaim notice are enabled.
	void startCopy(DirectCall call, long now) {
		if (this.copiesAtNotice && this.engines.apply(call).filter(EngineSpec::supportsMoves).isPresent()) {
			this.mover.start(call, now);
		}
	}

	// The first execution continues until the engine with the copy sends its first event,
	// so a missing copy loses nothing. Before the first event, a target without a copy
	// could not tell the resumption from a new request, and would execute it again.
	boolean resumeAtBackup(DirectCall call, String cause, long now) {
		Optional<ListedTarget> backup = call.attempt()
			.flatMap(Attempt::backup)
			.filter((b) -> call.isStreaming() && this.eligibility.acceptsWork(b, now));
		if (backup.isEmpty() || call.successor().isPresent() || this.poison.isQuarantined(call, now)
				|| !this.retries.tryAcquire(call.request().service(), RetryPurpose.RESUMPTION, now)) {
			return false;
		}
		this.standbys.release(call);
		this.audit.record(call.event(AuditKind.MOVED, call.attempt().get().target().id(),
				cause + ": resumes at its live copy at " + backup.get().id() + " after event " + call.lastEvent()));
		ResumePoint point = new ResumePoint(backup.get().address(), call.request().id(), call.lastEventText());
		call.setSuccessor(this.starter.startAttempt(call, backup.get(), Optional.of(point), now));
		return true;
	}

	// Used only for an execution that is lost; one whose engine is draining is copied
	// first.
	boolean resumeAtStandby(DirectCall call, String cause, long now) {
		Optional<StandbyCopy> standby = call.standby()
			.filter((s) -> !s.handle().isEmpty() && this.eligibility.acceptsWork(s.destination(), now));
		Optional<GenerationMove> move = this.mover.partialCopy(call, now);
		if ((standby.isEmpty() && move.isEmpty()) || this.poison.isQuarantined(call, now)
				|| !this.retries.tryAcquire(call.request().service(), RetryPurpose.RESUMPTION, now)) {
			return false;
		}
		ListedTarget source = call.attempt().get().target();
		ListedTarget destination = standby.map(StandbyCopy::destination).orElseGet(() -> move.get().destination());
		String handle = standby.map(StandbyCopy::handle).orElseGet(() -> move.get().handle());
		this.standbys.detach(call);
		this.mover.endMove(call, now);
		this.audit.record(call.event(AuditKind.MOVED, source.id(),
				cause + ": resumes at its last copy at " + destination.id() + " after event " + call.lastEvent()));
		ResumePoint point = new ResumePoint(source.address(), handle, call.lastEventText());
		call.setSuccessor(this.starter.startAttempt(call, destination, Optional.of(point), now));
		return true;
	}

	// The live copy is unusable, but the first execution may still exist.
	void continueWithoutCopy(DirectCall call, long now) {
		if (call.attempt().isEmpty()) {
			this.completion.endAsLost(call, "both the execution and its copy are lost", now);
			return;
		}
		startCopy(call, now);
	}

	/**
	 * Abandon one of two executions of a generation if the successor has sent no event
	 * within {@link #FIRST_EVENT_TIMEOUT_MILLIS}: the successor if the first execution
	 * still sends events, otherwise the first execution.
	 * @param call the request being dispatched
	 * @param successor the attempt without an event
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleFirstEventTimeout(DirectCall call, Attempt successor, long now) {
		if (!call.isSuccessor(successor) || call.attempt().isEmpty()) {
			return;
		}
		boolean isAlive = now - call.lastEventAt() <= MAX_EVENT_AGE_MILLIS;
		Attempt abandoned = isAlive ? successor : call.attempt().get();
		this.audit.record(call.event(AuditKind.MOVED, abandoned.target().id(),
				"abandoned: no event from its copy at " + successor.target().id() + " for " + FIRST_EVENT_TIMEOUT_MILLIS
						+ " ms, last event of the first execution " + (now - call.lastEventAt()) + " ms ago"));
		this.sender.abandon(call, abandoned);
		if (isAlive) {
			continueWithoutCopy(call, now);
		}
	}

	// Called at the first event of the successor, whose answer the caller receives from
	// now on.
	void switchToSuccessor(DirectCall call, long now) {
		call.attempt().ifPresent((a) -> this.sender.abandon(call, a));
		this.standbys.release(call);
		this.mover.release(call, now);
		call.promoteSuccessor();
	}

	// Called when the execution has stopped, or may have been stopped, for its move.
	void resume(DirectCall call, List<ListedTarget> holders, ResumePoint from, long now) {
		call.setHolders(holders);
		call.attempt().ifPresent((a) -> this.sender.abandon(call, a));
		resumeWithinBudget(call, from, now + LOAN_WAIT_MILLIS, now);
	}

	private void resumeWithinBudget(DirectCall call, ResumePoint from, long until, long now) {
		if (nextHolder(call, now).isEmpty()) {
			this.completion.endAsLost(call,
					"its KV cache is lost, or held by targets that departed too long ago, are withheld, in a backoff period or in an evacuated data centre",
					now);
		}
		else if (this.retries.tryAcquire(call.request().service(), RetryPurpose.RESUMPTION, now)) {
			startAtNextHolder(call, from, now);
		}
		else if (now < until) {
			this.timers.schedule(now + LOAN_POLL_MILLIS, (t) -> {
				if (this.open.test(call)) {
					resumeWithinBudget(call, from, until, t);
				}
			});
		}
		else {
			this.completion.endAsLost(call, "the retry budget is exhausted", now);
		}
	}

	private Optional<ListedTarget> nextHolder(DirectCall call, long now) {
		return call.holders().stream().filter((h) -> mayResume(h, now)).findFirst();
	}

	private void startAtNextHolder(DirectCall call, ResumePoint from, long now) {
		ListedTarget holder = nextHolder(call, now).get();
		call.setHolders(call.holders().stream().filter((h) -> h != holder).toList());
		call.setAttempt(this.starter.startAttempt(call, holder, Optional.of(from), now));
	}

	/**
	 * Determine whether a generation may resume at a target.
	 * @param target the target to check
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code false} if the target departed too long ago, started again, or must
	 * not receive work
	 */
	boolean mayResume(ListedTarget target, long now) {
		return !this.directory.isFormerIncarnation(target) && this.eligibility.allowsReturn(target, now)
				&& this.guard.mayResume(target, now);
	}

	/**
	 * Drop the copies of a call, and the stopped execution, that a former incarnation of
	 * an engine held.
	 * @param call the request being dispatched
	 * @param former the incarnation that has ended
	 */
	void dropCopiesAt(DirectCall call, ListedTarget former) {
		call.attempt()
			.filter((a) -> a.backup().filter(former::isSameIncarnation).isPresent())
			.ifPresent((a) -> this.sender.dropBackup(call, a, "its engine started again"));
		call.standby()
			.filter((s) -> s.destination().isSameIncarnation(former))
			.ifPresent((s) -> this.standbys.release(call));
		call.setHolders(call.holders().stream().filter((t) -> !t.isSameIncarnation(former)).toList());
	}

	/**
	 * Resume a stopped execution at another engine that holds it after one refused it or
	 * failed before its first event. Its source still holds the KV cache, and the
	 * execution is copied again once it answers.
	 * @param call the request being dispatched
	 * @param refused the attempt at the other engine
	 * @param cause the reason of the refusal
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if the generation resumes at another engine
	 */
	boolean resumeAtOtherHolder(DirectCall call, Attempt refused, String cause, long now) {
		Optional<ListedTarget> holder = nextHolder(call, now);
		if (refused.resume().isEmpty() || holder.isEmpty()) {
			return false;
		}
		this.audit.record(call.event(AuditKind.MOVED, holder.get().id(),
				"resumes after event " + call.lastEvent() + ": " + cause + " at " + refused.target().id()));
		resumeWithinBudget(call, refused.resume().get(), now + LOAN_WAIT_MILLIS, now);
		return true;
	}

	/**
	 * Starts an attempt.
	 */
	@FunctionalInterface
	interface AttemptStarter {

		/**
		 * Send the request of a call to a target and monitor its connection.
		 * @param call the request being dispatched
		 * @param target the target to send to
		 * @param resume the point from which the generation resumes; empty to start it
		 * @param now the current time in milliseconds of the monotonic clock
		 * @return the new attempt
		 */
		Attempt startAttempt(DirectCall call, ListedTarget target, Optional<ResumePoint> resume, long now);

	}

}
