package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.LeavingCause;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.poison.SuspectRequests;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.time.Timers;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Carries each request through its attempts to one final answer.
 * <p>
 * A request has run, as far as is known here, from the moment its first byte goes out
 * until its target says that it did not run it. Only what did not run, or may run more
 * than once, is sent again. A generation whose engine is leaving or lost goes on at a
 * copy of its memory. Pure code over explicit time; not thread-safe.
 *
 * @since 0.2
 */
public final class Dispatcher {

	/** Why an attempt ends at a target of which another run is listed. */
	private static final String STARTED_AGAIN = "the target started again";

	private final DispatchSettings settings;

	private final TargetDirectory directory;

	private final TargetBeliefs beliefs;

	private final RetryWindow retries;

	private final Timers timers;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final AttemptSender sender;

	private final StandbyCopies standbys;

	private final StreamMover mover;

	private final CallEnding ending;

	private final Offers offers;

	private final Continuation continuation;

	private final Eligibility eligibility;

	private final AttemptOutcomes outcomes;

	private final PoisonGuard poison;

	private final Map<Long, DirectCall> calls = new HashMap<>();

	private Optional<ServingPlan> plan = Optional.empty();

	/**
	 * Create a dispatcher.
	 * @param settings the times that it decides by
	 * @param directory the targets
	 * @param beliefs what is believed of them
	 * @param eligibility tells which of them may be sent work
	 * @param chooser chooses among them
	 * @param turn whose turn it is to copy generations away from an engine
	 * @param entries tells how many entries there are
	 * @param suspects the requests under which targets ended
	 * @param retries the process's part of the bound on repeated sendings
	 * @param timers what is due later
	 * @param outputs takes what was decided
	 * @param audit takes why
	 */
	public Dispatcher(DispatchSettings settings, TargetDirectory directory, TargetBeliefs beliefs,
			Eligibility eligibility, TargetChooser chooser, CopyTurn turn, EntryRanks entries, SuspectRequests suspects,
			RetryWindow retries, Timers timers, DispatchOutputs outputs, AuditSink audit) {
		this.settings = settings;
		this.directory = directory;
		this.beliefs = beliefs;
		this.eligibility = eligibility;
		this.retries = retries;
		this.timers = timers;
		this.outputs = outputs;
		this.audit = audit;
		this.sender = new AttemptSender(directory, eligibility, beliefs, chooser, outputs, audit,
				settings.mechanisms());
		this.standbys = new StandbyCopies(directory, eligibility, beliefs, chooser, turn, timers, outputs, audit,
				settings.mechanisms().use(Mechanism.STANDBY_COPIES));
		this.mover = new StreamMover(chooser, beliefs, this.standbys, turn, timers, outputs, audit,
				new CallResumption());
		this.ending = new CallEnding(settings, this.calls, this.sender, this.standbys, this.mover, outputs, audit);
		this.poison = new PoisonGuard(suspects, directory, eligibility::saidLeaving, this.ending, timers, outputs,
				audit, settings.mechanisms().use(Mechanism.REQUEST_QUARANTINE));
		this.offers = new Offers(settings, retries, this.sender, this.ending, this.poison, timers, outputs, audit,
				this::engine, entries, (c, a, t) -> connectFailed(c.number(), a.number(), ConnectFault.SILENT,
						"no connection within its time", t));
		this.continuation = new Continuation(eligibility, retries, this.sender, this.standbys, this.mover, this.ending,
				this.poison, audit, this.offers::begin, this::engine,
				settings.mechanisms().use(Mechanism.COPIES_AT_NOTICE));
		this.outcomes = new AttemptOutcomes(settings, directory, beliefs, this.sender, this.offers, this.continuation,
				this.ending, this.poison, outputs, audit);
	}

	/**
	 * Take the plan in force.
	 * @param inForce the plan
	 */
	public void use(ServingPlan inForce) {
		this.plan = Optional.of(inForce);
	}

	/**
	 * Return how many calls are open.
	 * @return the count
	 */
	public int openCalls() {
		return this.calls.size();
	}

	/**
	 * Take a request.
	 * @param number the number of its call, not used before
	 * @param request the request
	 * @param now the time in milliseconds
	 */
	public void open(long number, DirectRequest request, long now) {
		DirectCall call = new DirectCall(number, request, now);
		this.calls.put(number, call);
		this.retries.recordRequest(request.service(), now);
		this.audit.record(call.event(AuditKind.ACCEPTED, "", accepted(call)));
		this.timers.at(call.dueAt() + this.settings.answerSlackMillis(), (t) -> overdue(call, t));
		this.offers.offer(call, now);
	}

	/**
	 * Return the time that a target is given for a request whose connection is up.
	 * <p>
	 * To be called right before the first byte goes out; from then on the request may
	 * have run.
	 * @param number the call
	 * @param attempt the attempt
	 * @param now the time in milliseconds
	 * @return milliseconds, or empty if nothing is to be sent any more
	 */
	public OptionalLong readyToSend(long number, int attempt, long now) {
		Optional<Attempt> found = find(number, attempt);
		if (found.isEmpty()) {
			return OptionalLong.empty();
		}
		DirectCall call = this.calls.get(number);
		this.offers.connected(found.get(), now);
		this.beliefs.reached(found.get().target());
		long left = call.dueAt() - now;
		if (left <= 0) {
			return OptionalLong.empty();
		}
		ListedTarget target = found.get().target();
		if (this.poison.isQuarantined(call, now)) {
			this.timers.at(now, (t) -> connectFailed(number, attempt, ConnectFault.SILENT, "it is quarantined", t));
			return OptionalLong.empty();
		}
		Optional<String> whyNot = this.eligibility.whyNotAnyMore(target, now)
			.filter((c) -> found.get().resume().isEmpty());
		if (whyNot.isPresent()) {
			this.timers.at(now, (t) -> connectFailed(number, attempt, ConnectFault.SILENT, whyNot.get(), t));
			return OptionalLong.empty();
		}
		found.get().sent(now);
		call.arrived();
		this.beliefs.of(target).quality().recordSent(now);
		if (call.isSuccessor(found.get())) {
			long overdueAt = now + Continuation.FIRST_EVENT_MILLIS;
			this.timers.at(overdueAt, (t) -> this.continuation.overdue(call, found.get(), t));
		}
		if (call.request().route().kind() != RequestKind.STREAMING) {
			long silentAt = now + (long) (call.request().route().goalMillis() * this.settings.silenceGoals());
			this.timers.at(silentAt, (t) -> find(number, attempt).ifPresent((a) -> this.outcomes.silent(call, a, t)));
		}
		return OptionalLong.of(left);
	}

	/**
	 * Take that a connection did not come up, so that nothing was sent.
	 * @param number the call
	 * @param attempt the attempt
	 * @param fault the kind of fault
	 * @param cause what was seen
	 * @param now the time in milliseconds
	 */
	public void connectFailed(long number, int attempt, ConnectFault fault, String cause, long now) {
		Optional<Attempt> found = find(number, attempt).filter((a) -> !a.isSent());
		if (found.isEmpty()) {
			return;
		}
		DirectCall call = this.calls.get(number);
		ListedTarget target = found.get().target();
		if (this.directory.isStaying(target)) {
			this.beliefs.of(target).quality().recordUnreachable(now);
			if (fault == ConnectFault.REFUSED) {
				this.beliefs.refused(target);
				this.poison.refused(target, now);
			}
		}
		// What the refusal shows may have ended the call.
		if (find(number, attempt).isEmpty()) {
			return;
		}
		this.audit.record(call.event(AuditKind.RETRIED, target.id(), "nothing was sent: " + cause));
		this.outcomes.notTaken(call, found.get(), "no connection: " + cause, now);
	}

	/**
	 * Take an answer's head.
	 * @param number the call
	 * @param attempt the attempt
	 * @param head the head
	 * @param now the time in milliseconds
	 * @return whether the body's events are to be given to {@link #event}; otherwise it
	 * is to be kept whole for {@link #answered}
	 */
	public boolean headReceived(long number, int attempt, AnswerHead head, long now) {
		Optional<Attempt> found = find(number, attempt);
		if (found.isEmpty()) {
			return false;
		}
		ListedTarget target = found.get().target();
		head.load().ifPresent((l) -> this.beliefs.of(target).told(l, now));
		head.coldMillis().ifPresent((c) -> this.eligibility.toldCold(target, c, now));
		if (head.speaksForTarget(this.calls.get(number).request().id()) && this.directory.isKnownRun(target)) {
			this.eligibility.told(target, head.needs(), found.get().sentAt(), now);
		}
		return head.isSuccess() && head.events() && head.answers(this.calls.get(number).request().id());
	}

	/**
	 * Take a whole answer.
	 * @param number the call
	 * @param attempt the attempt
	 * @param head its head
	 * @param now the time in milliseconds
	 */
	public void answered(long number, int attempt, AnswerHead head, long now) {
		Optional<Attempt> found = find(number, attempt);
		if (found.isEmpty()) {
			return;
		}
		DirectCall call = this.calls.get(number);
		if (!head.answers(call.request().id())) {
			this.outcomes.failed(call, found.get(), "the answer is not one to this request: status " + head.status(),
					now);
		}
		else if (head.saysNotRun()) {
			this.outcomes.notRun(call, found.get(), head, now);
		}
		else if (call.isStreaming() || call.isSuccessor(found.get())) {
			this.outcomes.failed(call, found.get(), "status " + head.status() + " to a generation that goes on", now);
		}
		else {
			this.outcomes.ran(call, found.get(), head, now);
		}
	}

	/**
	 * Take an event of a stream.
	 * @param number the call
	 * @param attempt the attempt
	 * @param id the event's number in the stream
	 * @param now the time in milliseconds
	 * @return whether it is to be passed on; it is not if the caller has it already
	 */
	public boolean event(long number, int attempt, long id, long now) {
		Optional<Attempt> found = find(number, attempt);
		if (found.isEmpty()) {
			return false;
		}
		DirectCall call = this.calls.get(number);
		if (call.isSuccessor(found.get())) {
			this.continuation.takeOver(call, now);
		}
		if (!found.get().isAnswering()) {
			call.stoppedAt(Optional.empty());
			beganToAnswer(call, found.get(), now);
		}
		this.poison.event(call, found.get(), now);
		if (call.lastEvent() != DirectCall.NO_EVENT && id <= call.lastEvent()) {
			return false;
		}
		if (call.lastEvent() != DirectCall.NO_EVENT && id != call.lastEvent() + 1) {
			this.ending.cut(call, "event " + id + " came after event " + call.lastEvent(), now);
			return false;
		}
		if (!call.isStreaming()) {
			call.startStreaming();
			this.outputs.startStream(number, attempt);
		}
		call.passed(id, now);
		Optional<EngineSpec> engine = engine(call);
		this.sender.grew(call, found.get(), engine, now);
		engine.ifPresent((e) -> this.standbys.dropIfUseless(call, e, now));
		return true;
	}

	/**
	 * Take that a stream ended in the way that its protocol tells as whole.
	 * @param number the call
	 * @param attempt the attempt
	 * @param now the time in milliseconds
	 */
	public void streamEnded(long number, int attempt, long now) {
		Optional<Attempt> found = find(number, attempt);
		if (found.isEmpty()) {
			return;
		}
		DirectCall call = this.calls.get(number);
		if (call.isSuccessor(found.get()) || !call.isStreaming()) {
			this.outcomes.failed(call, found.get(), "the stream ended without an event", now);
			return;
		}
		this.offers.ended(call, now);
		this.poison.ranWhole(call, now);
		this.ending.finish(call, AuditKind.ANSWERED,
				"stream up to event " + call.lastEvent() + " whole after " + (now - call.openedAt()) + " ms, attempts "
						+ call.attempts() + ", first event after " + call.firstEventMillis() + " ms, longest pause "
						+ call.longestPause() + " ms before event " + call.eventAfterPause(),
				now);
		this.outputs.endStream(number);
	}

	/**
	 * Take that a connection broke after the request was sent, or a stream's end came too
	 * early.
	 * @param number the call
	 * @param attempt the attempt
	 * @param cause what was seen
	 * @param now the time in milliseconds
	 */
	public void broken(long number, int attempt, String cause, long now) {
		Optional<Attempt> found = find(number, attempt);
		if (found.isEmpty()) {
			return;
		}
		DirectCall call = this.calls.get(number);
		if (!call.isSuccessor(found.get()) && this.mover.expectsEnd(call, now)) {
			return;
		}
		this.poison.brokeOff(call, found.get(), now);
		this.outcomes.failed(call, found.get(), cause, now);
	}

	/**
	 * Take what was found when it was looked whether anything listens at a target.
	 * @param target the target
	 * @param refused whether the connection was refused; otherwise it came up
	 * @param now the time in milliseconds
	 */
	public void checked(ListedTarget target, boolean refused, long now) {
		if (refused) {
			this.poison.refused(target, now);
		}
		else {
			this.poison.reached(target, now);
		}
	}

	/**
	 * Take that a request is kept from targets from now on. Calls for the same that no
	 * target has begun to answer are given up before they end another one.
	 * @param digest the request
	 * @param now the time in milliseconds
	 */
	public void quarantined(RequestDigest digest, long now) {
		for (DirectCall call : List.copyOf(this.calls.values())) {
			if (call.request().digest().equals(digest) && call.lastEvent() == DirectCall.NO_EVENT) {
				this.poison.refuse(call, now);
			}
		}
	}

	/**
	 * Take that the caller left: nothing is owed any more.
	 * @param number the call
	 * @param now the time in milliseconds
	 */
	public void callerLeft(long number, long now) {
		DirectCall call = this.calls.get(number);
		if (call != null) {
			this.ending.abandonAll(call);
			this.ending.finish(call, AuditKind.CANCELLED, "the caller left after " + (now - call.openedAt()) + " ms",
					now);
		}
	}

	/**
	 * Take how a copy that was ordered ended.
	 * @param number the call
	 * @param order the order
	 * @param result how it ended
	 * @param now the time in milliseconds
	 */
	public void copied(long number, CopyOrder order, CopyResult result, long now) {
		DirectCall call = this.calls.get(number);
		if (call != null && this.mover.ordered(call, order)) {
			this.mover.copied(call, order, result, now);
		}
		else if (call != null) {
			this.standbys.copied(call, order, result, now);
		}
		else if (!result.handle().isEmpty()) {
			this.outputs.releaseCopy(order.source(), result.handle());
		}
	}

	/**
	 * Move the generations that run at a target that is leaving. Where it has started
	 * again already there is nothing to be moved.
	 * @param target the target
	 * @param cause what showed it
	 * @param now the time in milliseconds
	 */
	public void leaving(ListedTarget target, LeavingCause cause, long now) {
		this.poison.leaving(target, cause, now);
		if (this.directory.isFormerRun(target)) {
			return;
		}
		this.standbys.leaving(target, now);
		this.beliefs.of(target).leaving(now);
		for (DirectCall call : List.copyOf(this.calls.values())) {
			if (call.attempt().filter((a) -> a.isAnswering() && a.target().isSameRun(target)).isPresent()) {
				this.continuation.moveAway(call, now);
			}
		}
	}

	/**
	 * Take that a target is not listed any more. Where another run of it is, nothing is
	 * left of what ran, stopped or was copied at the former one: its generations go on
	 * elsewhere from their copies, and requests without an answer may have run.
	 * @param target the target
	 * @param now the time in milliseconds
	 */
	public void gone(ListedTarget target, long now) {
		if (this.directory.isFormerRun(target)) {
			endWithRun(target, now);
		}
		this.poison.gone(target, now);
	}

	private void endWithRun(ListedTarget target, long now) {
		for (DirectCall call : List.copyOf(this.calls.values())) {
			this.continuation.forget(call, target);
			call.successor().ifPresent((a) -> endWithRun(call, a, target, now));
			call.attempt().ifPresent((a) -> endWithRun(call, a, target, now));
		}
	}

	private void endWithRun(DirectCall call, Attempt attempt, ListedTarget former, long now) {
		if (!attempt.target().isSameRun(former)) {
			return;
		}
		if (attempt.isSent()) {
			broken(call.number(), attempt.number(), STARTED_AGAIN, now);
		}
		else {
			this.outputs.abandon(call.number(), attempt.number());
			connectFailed(call.number(), attempt.number(), ConnectFault.SILENT, STARTED_AGAIN, now);
		}
	}

	/**
	 * Give up the copies at the targets of a data centre that is evacuated. What runs
	 * there goes on.
	 * @param dataCentre the data centre
	 * @param now the time in milliseconds
	 */
	public void evacuated(String dataCentre, long now) {
		for (DirectCall call : List.copyOf(this.calls.values())) {
			call.attempt()
				.filter((a) -> a.backup().filter((b) -> b.dataCentre().equals(dataCentre)).isPresent())
				.ifPresent((a) -> this.sender.dropBackup(call, a, "its data centre is evacuated"));
			engine(call).ifPresent((e) -> this.standbys.dropIfUseless(call, e, now));
		}
	}

	private String accepted(DirectCall call) {
		DirectRequest request = call.request();
		return "route " + request.route().name() + " of plan " + this.plan.map(ServingPlan::version).orElse(0L)
				+ ", service " + request.service() + ", " + request.route().kind() + ", due in "
				+ (call.dueAt() - call.openedAt()) + " ms, digest " + request.digest().label()
				+ request.work()
					.map((w) -> ", tokens " + w.promptTokens() + " in, " + w.maxTokens() + " out")
					.orElse("");
	}

	private void beganToAnswer(DirectCall call, Attempt attempt, long now) {
		attempt.answering(now);
		this.outcomes.recordGood(attempt, now);
		call.mayHaveRun();
		this.standbys.watch(call, attempt, engine(call), now);
		// The run may have begun after its engine's notice, and only one that runs can
		// be moved. Its first event may be one that the caller has already.
		if (!this.directory.isStaying(attempt.target())) {
			this.continuation.copyAway(call, now);
		}
	}

	private Optional<EngineSpec> engine(DirectCall call) {
		return this.plan.flatMap((p) -> p.service(call.request().service())).flatMap(ServiceSpec::engine);
	}

	private void overdue(DirectCall call, long now) {
		if (this.calls.get(call.number()) != call) {
			return;
		}
		boolean wasSent = call.verdict() != Verdict.NOT_RUN;
		this.ending.abandonAll(call);
		if (call.isStreaming()) {
			this.ending.cut(call, "the time for the request is over", now);
		}
		else if (wasSent) {
			this.ending.refuse(call, RefusalReason.LINK_LOST, "the target did not answer in time", now);
		}
		else {
			this.ending.refuse(call, RefusalReason.WAIT_TOO_LONG, "no target could be reached in time", now);
		}
	}

	private Optional<Attempt> find(long number, int attempt) {
		return Optional.ofNullable(this.calls.get(number)).flatMap((c) -> c.find(attempt));
	}

	/**
	 * Lets the mover go on with a call.
	 */
	private final class CallResumption implements StreamMover.Resumption {

		@Override
		public void resume(DirectCall call, ListedTarget destination, ResumePoint from, long now) {
			Dispatcher.this.continuation.resume(call, destination, from, now);
		}

		@Override
		public void lost(DirectCall call, String cause, long now) {
			Dispatcher.this.ending.lost(call, cause, now);
		}

		@Override
		public boolean takesWork(ListedTarget target, long now) {
			return Dispatcher.this.eligibility.takesWork(target, now);
		}

		@Override
		public boolean isEvacuated(ListedTarget target) {
			return Dispatcher.this.eligibility.isEvacuated(target);
		}

		@Override
		public boolean isOver(ListedTarget target) {
			return Dispatcher.this.directory.isFormerRun(target);
		}

		@Override
		public Optional<EngineSpec> engine(DirectCall call) {
			return Dispatcher.this.engine(call);
		}

	}

}
