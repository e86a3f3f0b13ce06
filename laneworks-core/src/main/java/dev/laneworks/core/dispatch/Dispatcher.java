package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import java.util.function.Predicate;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.budget.SharedRetryBudget;
import dev.laneworks.core.directory.DrainingCause;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.headroom.EngineHeadroom;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.poison.SuspectPartGroup;
import dev.laneworks.core.poison.SuspectParts;
import dev.laneworks.core.poison.SuspectRequests;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.shares.ReservationListener;
import dev.laneworks.core.speed.MalformedLoads;
import dev.laneworks.core.time.Timers;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;
import dev.laneworks.core.waiting.GenerationQueues;

/**
 * Carries each request through its attempts to exactly one final answer.
 * <p>
 * A request counts as possibly executed from the moment its first byte is sent until its
 * target reports that it did not execute it. Only a request that was not executed, or
 * that may be executed more than once, is sent again. A generation whose engine is
 * draining or lost resumes at a copy of its KV cache. This class does no I/O, receives
 * the time as an argument and is not thread-safe.
 *
 * @since 0.2
 */
public final class Dispatcher {

	private static final String RESTARTED = "the target started again";

	private static final String PROCESS_ENDS = "this entry ends";

	/**
	 * The time for which the end of a stream is held back before a probe of its target
	 * may confirm it, in milliseconds. Its events are delivered already. A longer time
	 * would break off more complete streams whose engines end soon after them. The probe
	 * for a plain answer, which is delivered after it, is sent at once.
	 */
	private static final long STREAM_SETTLE_MILLIS = 100;

	private final DispatchSettings settings;

	private final TargetDirectory directory;

	private final TargetEstimates estimates;

	private final SharedRetryBudget retries;

	private final Timers timers;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final AttemptSender sender;

	private final StandbyCopies standbys;

	private final StreamMover mover;

	private final CallCompletion completion;

	private final AttemptScheduler scheduler;

	private final Continuation continuation;

	private final Eligibility eligibility;

	private final SendGuard guard;

	private final AttemptOutcomes outcomes;

	private final PoisonRequestGuard poison;

	private final UnconfirmedAnswers unconfirmed;

	private final GenerationQueues queues;

	private final QueuedStarts queuedStarts;

	private final HeadroomRecorder headroom;

	private final MalformedLoads malformedLoads;

	private final DisconnectedCalls disconnectedCalls = new DisconnectedCalls();

	private final Map<Long, DirectCall> calls = new HashMap<>();

	private Optional<ServingPlan> plan = Optional.empty();

	/**
	 * Create a dispatcher.
	 * @param settings the timeouts and limits that apply
	 * @param directory the listed targets
	 * @param estimates the recorded state of each target
	 * @param eligibility the rules that decide which targets may receive requests
	 * @param guard the last decision before a request is sent to its target
	 * @param chooser the selection among eligible targets
	 * @param coordination the coordination of copies away from an engine with other
	 * processes
	 * @param entries the number and ranks of the entries
	 * @param queues the queues of generations that wait for engine memory
	 * @param suspects the requests that were in progress when targets crashed
	 * @param suspectParts the prompt parts that were in progress when targets crashed
	 * @param retries the share of this process in the retry budget
	 * @param timers the scheduler of delayed tasks
	 * @param outputs the receiver of decisions to carry out
	 * @param audit the receiver of decisions with their causes
	 */
	public Dispatcher(DispatchSettings settings, TargetDirectory directory, TargetEstimates estimates,
			Eligibility eligibility, SendGuard guard, TargetChooser chooser, CopyCoordination coordination,
			EntryRanks entries, GenerationQueues queues, SuspectRequests suspects, SuspectParts suspectParts,
			SharedRetryBudget retries, Timers timers, DispatchOutputs outputs, AuditSink audit) {
		this.settings = settings;
		this.directory = directory;
		this.estimates = estimates;
		this.eligibility = eligibility;
		this.guard = guard;
		this.retries = retries;
		this.timers = timers;
		this.outputs = outputs;
		this.audit = audit;
		this.malformedLoads = new MalformedLoads(audit);
		this.sender = new AttemptSender(directory, guard, eligibility, estimates, chooser, outputs, audit,
				settings.mechanisms(), (c) -> queues.enginePriority(c.request().service(), c.request().route()));
		this.standbys = new StandbyCopies(directory, eligibility, estimates, chooser, coordination, timers, outputs,
				audit, settings.mechanisms().isEnabled(Mechanism.STANDBY_COPIES));
		this.mover = new StreamMover(chooser, estimates, this.standbys, coordination, timers, outputs, audit,
				new CallResumption());
		this.completion = new CallCompletion(settings, this.calls, this.sender, this.standbys, this.mover, outputs,
				audit);
		TargetProbes probes = new TargetProbes(outputs);
		this.poison = new PoisonRequestGuard(suspects, suspectParts, directory, eligibility::isDraining,
				this.completion, timers, probes, audit, settings.mechanisms().isEnabled(Mechanism.REQUEST_QUARANTINE));
		this.unconfirmed = new UnconfirmedAnswers(probes, timers);
		this.queues = queues;
		this.queuedStarts = new QueuedStarts(queues, this.calls, this.sender, timers, audit, this::engine);
		this.completion.onEnd(this.queuedStarts::handleEnd);
		this.scheduler = new AttemptScheduler(settings, retries, this.sender, this.completion, this.poison, timers,
				outputs, audit, this::engine, entries, this.queuedStarts, guard,
				(c) -> this.calls.containsKey(c.number()), (c, a, t) -> connectFailed(c.number(), a.number(),
						ConnectFault.TIMED_OUT, "connect timeout expired", t));
		this.continuation = new Continuation(directory, eligibility, guard, retries, this.sender, this.standbys,
				this.mover, this.completion, this.poison, audit, this.scheduler::startAttempt, this::engine,
				(c) -> this.calls.containsKey(c.number()), timers,
				settings.mechanisms().isEnabled(Mechanism.COPIES_AT_NOTICE));
		this.headroom = new HeadroomRecorder(new ServiceEngines(() -> this.plan, eligibility, chooser, entries));
		this.outcomes = new AttemptOutcomes(settings, directory, estimates, this.sender, this.scheduler,
				this.continuation, this.completion, outputs, audit);
	}

	/**
	 * Apply a new serving plan to requests from now on.
	 * @param inForce the plan that replaces the current one
	 */
	public void applyPlan(ServingPlan inForce) {
		this.plan = Optional.of(inForce);
		this.queues.applyPlan(inForce);
	}

	/**
	 * Return the limit of engine memory up to which generations may start.
	 * @return the limit, which follows the events of this dispatcher
	 * @since 0.4
	 */
	public EngineHeadroom headroom() {
		return this.headroom.headroom();
	}

	/**
	 * Register the listener for changes of the engine memory that attempts reserve,
	 * replacing any earlier one. To be called before the first request.
	 * @param listener the listener to notify
	 * @since 0.4
	 */
	public void onReservation(ReservationListener listener) {
		this.sender.onReservation(listener);
	}

	/**
	 * Return the number of requests without a final answer.
	 * @return the number of open calls
	 */
	public int openCalls() {
		return this.calls.size();
	}

	/**
	 * Refuse the generations that wait for engine memory and cannot complete before this
	 * process ends. The others stay queued.
	 * @param canFinish whether a request that starts now completes in time
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void refuseUnfinishable(Predicate<DirectRequest> canFinish, long now) {
		this.queuedStarts.refuseUnfinishable(canFinish, now);
	}

	/**
	 * End all open calls, since this process ends. Streams that have begun are cut; other
	 * calls are refused, with the promise that they were not executed if that is certain.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @since 0.7
	 */
	public void endAll(long now) {
		for (long number : List.copyOf(this.calls.keySet())) {
			Optional.ofNullable(this.calls.get(number)).ifPresent((c) -> end(c, now));
		}
	}

	private void end(DirectCall call, long now) {
		if (call.isStreaming()) {
			this.completion.cut(call, PROCESS_ENDS, now);
		}
		else {
			this.completion.refuse(call, RefusalReason.LEAVING, PROCESS_ENDS, now);
		}
	}

	/**
	 * Return the number of answers whose load report could not be read.
	 * @return the count since the start
	 * @since 0.4
	 */
	public long malformedLoads() {
		return this.malformedLoads.count();
	}

	/**
	 * Return the calls whose callers disconnected.
	 * @return the counts since the start
	 * @since 0.5
	 */
	public DisconnectedCalls disconnectedCalls() {
		return this.disconnectedCalls;
	}

	/**
	 * Accept a request and begin its first attempt.
	 * @param number the number that identifies the call; not used before
	 * @param request the admitted request
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void open(long number, DirectRequest request, long now) {
		DirectCall call = new DirectCall(number, request, now);
		this.calls.put(number, call);
		this.retries.recordRequest(request.service(), now);
		this.headroom.recordArrival(call, now);
		this.poison.handleOpened(call);
		this.audit.record(call.event(AuditKind.ACCEPTED, "", describe(call)));
		this.timers.schedule(call.dueAt() + this.settings.answerSlackMillis(), (t) -> handleDeadline(call, t));
		this.scheduler.dispatch(call, now);
	}

	/**
	 * Determine whether a request may still be sent, once its connection is established.
	 * <p>
	 * To be called immediately before the first byte is sent. From then on the request
	 * counts as possibly executed.
	 * @param number the number of the call
	 * @param attempt the number of the attempt
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the time left for the answer in milliseconds, or empty if nothing may be
	 * sent
	 */
	public OptionalLong readyToSend(long number, int attempt, long now) {
		Optional<Attempt> found = find(number, attempt);
		if (found.isEmpty()) {
			return OptionalLong.empty();
		}
		DirectCall call = this.calls.get(number);
		this.scheduler.recordConnected(found.get(), now);
		this.estimates.recordReachable(found.get().target());
		long remainingMillis = call.dueAt() - now;
		if (remainingMillis <= 0) {
			return OptionalLong.empty();
		}
		ListedTarget target = found.get().target();
		if (this.poison.isQuarantined(call, now)) {
			this.timers.schedule(now,
					(t) -> connectFailed(number, attempt, ConnectFault.TIMED_OUT, "the request is quarantined", t));
			return OptionalLong.empty();
		}
		if (found.get().resume().isEmpty() && this.guard.awaitsContact(now)) {
			this.timers.schedule(now, (t) -> this.scheduler.postpone(call, found.get(), t));
			return OptionalLong.empty();
		}
		Optional<String> rejection = this.guard.findRejection(found.get(), now);
		if (rejection.isPresent()) {
			this.timers.schedule(now,
					(t) -> connectFailed(number, attempt, ConnectFault.TIMED_OUT, rejection.get(), t));
			return OptionalLong.empty();
		}
		found.get().markSent(now);
		this.poison.handleSent(call, now);
		call.recordArrival();
		this.estimates.of(target).quality().recordSent(now);
		if (call.isSuccessor(found.get())) {
			long firstEventDueAt = now + Continuation.FIRST_EVENT_TIMEOUT_MILLIS;
			this.timers.schedule(firstEventDueAt,
					(t) -> this.continuation.handleFirstEventTimeout(call, found.get(), t));
		}
		if (call.request().route().kind() != RequestKind.STREAMING) {
			long responseDueAt = now + (long) (call.request().route().goalMillis() * this.settings.noResponseGoals());
			this.timers.schedule(responseDueAt,
					(t) -> find(number, attempt).ifPresent((a) -> this.outcomes.handleNoResponse(call, a, t)));
		}
		return OptionalLong.of(remainingMillis);
	}

	/**
	 * Handle a connection that was not established, so that nothing was sent.
	 * @param number the number of the call
	 * @param attempt the number of the attempt
	 * @param fault whether the connection was refused or timed out
	 * @param cause the observed error
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void connectFailed(long number, int attempt, ConnectFault fault, String cause, long now) {
		Optional<Attempt> found = find(number, attempt).filter((a) -> !a.isSent());
		if (found.isEmpty()) {
			return;
		}
		DirectCall call = this.calls.get(number);
		ListedTarget target = found.get().target();
		if (this.directory.isAvailable(target)) {
			this.estimates.of(target).quality().recordUnreachable(now);
			if (fault == ConnectFault.REFUSED) {
				this.estimates.recordRefusedConnection(target);
				handleRefusedConnection(target, now);
			}
		}
		// Recording the refusal may have ended the call.
		if (find(number, attempt).isEmpty()) {
			return;
		}
		this.audit.record(call.event(AuditKind.RETRIED, target.id(), "nothing was sent: " + cause));
		this.outcomes.handleNotAccepted(call, found.get(), "no connection: " + cause, now);
	}

	/**
	 * Handle the head of an answer and record the load and back-pressure signals in it.
	 * @param number the number of the call
	 * @param attempt the number of the attempt
	 * @param head the parsed head
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if the events of the body are to be passed to
	 * {@link #eventReceived}; {@code false} if the body is to be buffered for
	 * {@link #answered}
	 */
	public boolean headReceived(long number, int attempt, AnswerHead head, long now) {
		Optional<Attempt> found = find(number, attempt);
		if (found.isEmpty()) {
			return false;
		}
		ListedTarget target = found.get().target();
		if (head.malformedLoad()) {
			this.malformedLoads.record(target.id(), now);
		}
		boolean isFromTarget = head.appliesToTarget(this.calls.get(number).request().id());
		head.load()
			.map((l) -> isFromTarget ? l : l.withoutSlowness())
			.ifPresent((l) -> this.estimates.of(target).recordLoad(l, now));
		head.coldMillis().ifPresent((c) -> this.eligibility.recordCold(target, c, now));
		if (isFromTarget && this.directory.isCurrentIncarnation(target)) {
			this.eligibility.recordSignals(target, head.signals(), found.get().sentAt(), now);
		}
		return head.isSuccess() && head.events() && head.isValidAnswerTo(this.calls.get(number).request().id());
	}

	/**
	 * Handle the end of an answer that is no stream.
	 * @param number the number of the call
	 * @param attempt the number of the attempt
	 * @param head the parsed head of the answer
	 * @param end how the body ended
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void answered(long number, int attempt, AnswerHead head, AnswerEnd end, long now) {
		Optional<Attempt> found = find(number, attempt);
		if (found.isEmpty()) {
			return;
		}
		DirectCall call = this.calls.get(number);
		if (!head.isValidAnswerTo(call.request().id())) {
			this.outcomes.handleFailure(call, found.get(),
					"the answer does not belong to this request or is damaged: status " + head.status(), now);
		}
		else if (head.saysNotRun()) {
			this.outcomes.handleNotRun(call, found.get(), head, now);
		}
		else if (call.isStreaming() || call.isSuccessor(found.get())) {
			this.outcomes.handleFailure(call, found.get(), "status " + head.status() + " to a resumed generation", now);
		}
		else if (end.closeDelimited()) {
			holdBack(call, found.get(), 0, !head.meaning().isFailure(),
					(t) -> this.outcomes.handleAnswer(call, found.get(), head, end, t), now);
		}
		else {
			if (!head.meaning().isFailure()) {
				this.poison.recordCompleted(call, found.get(), now);
			}
			this.outcomes.handleAnswer(call, found.get(), head, end, now);
		}
	}

	/**
	 * Handle an event of a stream. An event that shows that the stream is damaged ends
	 * the attempt.
	 * @param number the number of the call
	 * @param attempt the number of the attempt
	 * @param id the id of the event within the stream
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if the event is to be forwarded; {@code false} if the caller
	 * has received it already or the attempt is over
	 */
	public boolean eventReceived(long number, int attempt, EventId id, long now) {
		Optional<Attempt> found = find(number, attempt);
		if (found.isEmpty()) {
			return false;
		}
		DirectCall call = this.calls.get(number);
		Optional<String> fault = found.get().events().add(id);
		if (fault.isPresent()) {
			call.recordDamagedEvent();
			handleDamagedStream(call, found.get(), fault.get(), now);
			return false;
		}
		if (call.isSuccessor(found.get())) {
			this.continuation.switchToSuccessor(call, now);
		}
		boolean isFirstOfAttempt = !found.get().isAnswering();
		if (isFirstOfAttempt) {
			call.setHolders(List.of());
			handleFirstEvent(call, found.get(), now);
		}
		this.poison.handleEvent(call, found.get(), now);
		long event = id.number().orElseThrow();
		if (event <= call.lastEvent()) {
			return false;
		}
		if (!call.isStreaming()) {
			call.startStreaming();
			this.outputs.startStream(number, attempt);
		}
		Optional<EngineSpec> engine = engine(call);
		if (!isFirstOfAttempt) {
			engine.ifPresent((e) -> this.sender.recordInterval(call, found.get(), e, now));
		}
		call.recordEvent(event, now);
		this.sender.recordGrowth(call, found.get(), engine, now);
		engine.ifPresent((e) -> this.standbys.releaseIfUnusable(call, e, now));
		return true;
	}

	// Nothing of the attempt reaches the caller from now on. The generation resumes after
	// the last event that the caller has, or its stream is cut.
	private void handleDamagedStream(DirectCall call, Attempt attempt, String cause, long now) {
		this.outputs.abandon(call.number(), attempt.number());
		endUnlessStopped(call, attempt, StreamEnd.BROKEN,
				(t) -> this.outcomes.handleFailure(call, attempt, cause + attempt.describeStop(t), t), now);
	}

	/**
	 * Handle the end of a stream.
	 * @param number the number of the call
	 * @param attempt the number of the attempt
	 * @param end how the body ended
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void streamEnded(long number, int attempt, AnswerEnd end, long now) {
		Optional<Attempt> found = find(number, attempt);
		if (found.isEmpty()) {
			return;
		}
		DirectCall call = this.calls.get(number);
		if (end.isBrokenOff()) {
			attemptBroken(number, attempt, "the stream ended inside an event, " + end.describe(), now);
		}
		else if (endsTooEarly(call, found.get())) {
			handleDamagedStream(call, found.get(), "the resumed stream ended too early", now);
		}
		else if (end.closeDelimited()) {
			endUnlessStopped(call, found.get(), StreamEnd.CLOSE_DELIMITED,
					(t) -> endCloseDelimitedStream(call, found.get(), end, t), now);
		}
		else {
			endUnlessStopped(call, found.get(), StreamEnd.MARKED, (t) -> endMarkedStream(call, found.get(), end, t),
					now);
		}
	}

	// Whether a resumption ended before an event that its generation has sent already.
	private static boolean endsTooEarly(DirectCall call, Attempt attempt) {
		return call.lastEvent() > attempt.events().last().orElse(DirectCall.NO_EVENT)
				|| (call.lacksEvent() && !attempt.isAnswering());
	}

	private void endMarkedStream(DirectCall call, Attempt attempt, AnswerEnd end, long now) {
		if (hasNothingLeft(call, attempt)) {
			completeStream(call, attempt, end, now);
		}
		else if (call.isSuccessor(attempt) || !call.isStreaming()) {
			this.outcomes.handleFailure(call, attempt, "the stream ended without an event", now);
		}
		else {
			this.poison.recordCompleted(call, attempt, now);
			completeStream(call, attempt, end, now);
		}
	}

	private void endCloseDelimitedStream(DirectCall call, Attempt attempt, AnswerEnd end, long now) {
		if (!attempt.isAnswering() && !hasNothingLeft(call, attempt)) {
			attemptBroken(call.number(), attempt.number(), "the connection ended before the first event", now);
		}
		else if (!call.isSuccessor(attempt) && call.successor().isPresent()) {
			// An engine also closes a stream that resumes at another one.
			this.outcomes.handleFailure(call, attempt, "the connection ended beside a resumption", now);
		}
		else {
			holdBack(call, attempt, STREAM_SETTLE_MILLIS, true, (t) -> completeStream(call, attempt, end, t), now);
		}
	}

	// Whether a resumption ended without an event although no other execution is left,
	// since the first one was stopped or lost after its last event.
	private static boolean hasNothingLeft(DirectCall call, Attempt attempt) {
		return call.isStreaming() && attempt.resume().isPresent() && !attempt.isAnswering()
				&& (!call.isSuccessor(attempt) || call.attempt().isEmpty());
	}

	// Holds back a close-delimited answer until the process that sent it is known to
	// live.
	private void holdBack(DirectCall call, Attempt attempt, long settleMillis, boolean isSuccess, LongConsumer complete,
			long now) {
		this.poison.handleCloseDelimitedAnswer(call, attempt, isSuccess, now);
		LongConsumer completeIfOpen = (t) -> {
			if (find(call.number(), attempt.number()).isPresent()) {
				complete.accept(t);
			}
		};
		this.unconfirmed.hold(call, attempt, settleMillis, completeIfOpen,
				(t) -> endBrokenOff(call, attempt, "the target crashed at the end of its answer", t),
				(t) -> endBrokenOff(call, attempt, "no probe shows that the process which sent the answer lives", t),
				(t) -> canContinue(call, attempt, t), now);
	}

	private boolean canContinue(DirectCall call, Attempt attempt, long now) {
		if (!call.isStreaming()) {
			return this.scheduler.mayRetry(call, attempt, now);
		}
		return call.isSuccessor(attempt) || !call.holders().isEmpty() || attempt.backup().isPresent()
				|| call.standby().isPresent();
	}

	private void endBrokenOff(DirectCall call, Attempt attempt, String cause, long now) {
		if (find(call.number(), attempt.number()).isPresent()) {
			endUnlessStopped(call, attempt, StreamEnd.BROKEN,
					(t) -> this.outcomes.handleFailure(call, attempt, cause, t), now);
		}
	}

	private void handleRefusedConnection(ListedTarget target, long now) {
		this.unconfirmed.handleEndedProcess(target, now);
		this.poison.handleRefusedConnection(target, now);
	}

	// If the generation may have been stopped for its move, the move decides whether it
	// resumes.
	private void endUnlessStopped(DirectCall call, Attempt attempt, StreamEnd end, LongConsumer unlessStopped,
			long now) {
		if (call.isSuccessor(attempt)) {
			unlessStopped.accept(now);
		}
		else if (call.successor().isPresent() && attempt.mayBeStopped()) {
			this.outcomes.handleFailure(call, attempt, "its stream ended beside a resumption", now);
		}
		else {
			this.mover.endUnlessStopped(call, attempt, end, unlessStopped, now);
		}
	}

	private void completeStream(DirectCall call, Attempt attempt, AnswerEnd end, long now) {
		if (call.isSuccessor(attempt)) {
			this.continuation.switchToSuccessor(call, now);
		}
		this.scheduler.recordCompleted(call, now);
		this.headroom.recordEnd(call, attempt, now);
		this.completion.finish(call, AuditKind.ANSWERED,
				"stream up to event " + call.lastEvent() + " whole after " + (now - call.openedAt()) + " ms, attempts "
						+ call.attempts() + ", first event after " + call.firstEventMillis() + " ms, longest pause "
						+ call.longestPauseMillis() + " ms before event " + call.eventAfterLongestPause() + ", "
						+ end.describe() + attempt.describeStop(now),
				now);
		this.outputs.endStream(call.number());
	}

	/**
	 * Handle a connection that broke after the request was sent, or a stream that ended
	 * prematurely.
	 * @param number the number of the call
	 * @param attempt the number of the attempt
	 * @param cause the observed error
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void attemptBroken(long number, int attempt, String cause, long now) {
		Optional<Attempt> found = find(number, attempt);
		if (found.isEmpty()) {
			return;
		}
		DirectCall call = this.calls.get(number);
		endUnlessStopped(call, found.get(), StreamEnd.BROKEN, (t) -> {
			this.poison.handleBrokenConnection(call, found.get(), t);
			this.outcomes.handleFailure(call, found.get(), cause + found.get().describeStop(t), t);
		}, now);
	}

	/**
	 * Handle the result of a probe that was ordered by {@link DispatchOutputs#probe}.
	 * @param target the probed target
	 * @param probe the probe as ordered
	 * @param refused {@code true} if the connection was refused, {@code false} if it was
	 * established
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void probed(ListedTarget target, Probe probe, boolean refused, long now) {
		if (refused) {
			handleRefusedConnection(target, now);
		}
		else {
			this.poison.handleReachable(target, probe, now);
		}
	}

	/**
	 * Handle the answer to a probe that was ordered by {@link DispatchOutputs#identify}.
	 * @param target the probed target
	 * @param probe the probe as ordered
	 * @param answer the answer
	 * @param now the current time in milliseconds of the monotonic clock
	 * @since 0.9
	 */
	public void identified(ListedTarget target, Probe probe, ProbeAnswer answer, long now) {
		switch (answer.identify(target, this.directory.isFormerIncarnation(target))) {
			case SAME -> {
				this.unconfirmed.handleSameProcess(probe, now);
				this.poison.handleReachable(target, probe, now);
			}
			case OTHER -> {
				this.unconfirmed.handleEndedProcess(target, now);
				this.poison.handleReplacedProcess(target, now);
			}
			case UNKNOWN -> {
				// A later probe may show it.
			}
		}
	}

	/**
	 * Refuse the open calls for a request that is quarantined from now on, unless a
	 * target has begun to answer them.
	 * @param digest the digest of the quarantined request
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void quarantined(RequestDigest digest, long now) {
		for (DirectCall call : List.copyOf(this.calls.values())) {
			if (call.request().digest().equals(digest) && call.lastEvent() == DirectCall.NO_EVENT) {
				this.poison.refuse(call, now);
			}
		}
	}

	/**
	 * Refuse the open calls with prompt parts that are quarantined from now on, unless a
	 * target has begun to answer them.
	 * @param group the quarantined parts
	 * @param now the current time in milliseconds of the monotonic clock
	 * @since 0.8
	 */
	public void quarantined(SuspectPartGroup group, long now) {
		for (DirectCall call : List.copyOf(this.calls.values())) {
			if (group.matches(call.prompt()) && call.lastEvent() == DirectCall.NO_EVENT) {
				this.poison.refuse(call, now);
			}
		}
	}

	/**
	 * Handle the disconnection of a caller: end the call without an answer.
	 * @param number the number of the call
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void callerDisconnected(long number, long now) {
		DirectCall call = this.calls.get(number);
		if (call != null) {
			String cause = this.disconnectedCalls.record(call, now);
			this.completion.abandonAll(call);
			this.completion.finish(call, AuditKind.CANCELLED, cause, now);
		}
	}

	/**
	 * Handle the end of a copy that was ordered by {@link DispatchOutputs#copy}.
	 * @param number the number of the call
	 * @param order the order of the copy
	 * @param result the result of the copy
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void copied(long number, CopyOrder order, CopyResult result, long now) {
		DirectCall call = this.calls.get(number);
		if (call != null && this.mover.issued(call, order)) {
			this.mover.handleCopyResult(call, order, result, now);
		}
		else if (call != null && order.stopFirst()) {
			this.audit.record(call.event(AuditKind.MOVED, order.source().id(), "copy to " + order.destination().id()
					+ ": " + result.outcome() + ", after its generation resumed"));
		}
		else if (call != null) {
			this.standbys.handleCopyResult(call, order, result, now);
		}
		else if (!result.handle().isEmpty()) {
			this.outputs.releaseCopy(order.source(), result.handle());
		}
	}

	/**
	 * Move the generations away from a target that is draining. Nothing is moved if the
	 * target has restarted already.
	 * @param target the draining target
	 * @param cause the signal that announced it
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void targetDraining(ListedTarget target, DrainingCause cause, long now) {
		this.guard.recordDeparture(target, now);
		this.headroom.recordDeparture(target, now);
		this.poison.handleDraining(target, cause, now);
		if (this.directory.isFormerIncarnation(target)) {
			return;
		}
		this.standbys.handleDraining(target, now);
		this.estimates.of(target).markDraining(now);
		List<DirectCall> moving = this.calls.values()
			.stream()
			.filter((c) -> c.attempt()
				.filter((a) -> a.isAnswering() && a.target().isSameIncarnation(target))
				.isPresent())
			.toList();
		this.retries.expectResumptions(target.service(), moving.size(), now);
		moving.forEach((c) -> this.continuation.moveFromEngine(c, now));
	}

	/**
	 * Handle the removal of a target's list entry, although the target may be listed
	 * again.
	 * @param target the target
	 * @param now the current time in milliseconds of the monotonic clock
	 * @since 0.8
	 */
	public void targetExpired(ListedTarget target, long now) {
		this.guard.recordDeparture(target, now);
	}

	/**
	 * Handle a target that is listed again, or for the first time.
	 * @param target the target
	 * @since 0.8
	 */
	public void targetListed(ListedTarget target) {
		this.guard.recordReturn(target);
	}

	/**
	 * Handle the removal of a target from the directory. If a newer incarnation of it is
	 * listed, everything that the former one held is lost: its generations resume
	 * elsewhere from their copies, and requests without an answer may have been executed.
	 * @param target the removed target
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void targetRemoved(ListedTarget target, long now) {
		this.headroom.recordDeparture(target, now);
		if (this.directory.isFormerIncarnation(target)) {
			failAfterRestart(target, now);
		}
		this.poison.handleRemoved(target, now);
	}

	private void failAfterRestart(ListedTarget target, long now) {
		for (DirectCall call : List.copyOf(this.calls.values())) {
			this.continuation.dropCopiesAt(call, target);
			call.successor().ifPresent((a) -> failAfterRestart(call, a, target, now));
			call.attempt().ifPresent((a) -> failAfterRestart(call, a, target, now));
		}
	}

	private void failAfterRestart(DirectCall call, Attempt attempt, ListedTarget former, long now) {
		if (!attempt.target().isSameIncarnation(former)) {
			return;
		}
		if (attempt.isSent()) {
			attemptBroken(call.number(), attempt.number(), RESTARTED, now);
		}
		else {
			this.outputs.abandon(call.number(), attempt.number());
			connectFailed(call.number(), attempt.number(), ConnectFault.TIMED_OUT, RESTARTED, now);
		}
	}

	/**
	 * Drop the copies held in a data centre that is being evacuated. Generations that
	 * execute there continue.
	 * @param dataCentre the name of the data centre
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void dataCentreEvacuated(String dataCentre, long now) {
		for (DirectCall call : List.copyOf(this.calls.values())) {
			call.attempt()
				.filter((a) -> a.backup().filter((b) -> b.dataCentre().equals(dataCentre)).isPresent())
				.ifPresent((a) -> this.sender.dropBackup(call, a, "its data centre is evacuated"));
			engine(call).ifPresent((e) -> this.standbys.releaseIfUnusable(call, e, now));
		}
	}

	private String describe(DirectCall call) {
		DirectRequest request = call.request();
		return "route " + request.route().name() + " of plan " + this.plan.map(ServingPlan::version).orElse(0L)
				+ ", service " + request.service() + ", " + request.route().kind() + ", due in "
				+ (call.dueAt() - call.openedAt()) + " ms, digest " + request.digest().label()
				+ request.size()
					.map((w) -> ", tokens " + w.promptTokens() + " in, " + w.maxTokens() + " out, prompt "
							+ w.describeParts())
					.orElse("");
	}

	private void handleFirstEvent(DirectCall call, Attempt attempt, long now) {
		attempt.markAnswering(now);
		this.sender.recordPromptRead(call, attempt, now);
		this.outcomes.recordSuccess(attempt, now);
		this.queuedStarts.recordFirstEvent(call, attempt, now);
		call.recordPossibleRun();
		this.standbys.schedule(call, attempt, engine(call), now);
		// The request may have started after the reclaim notice of its engine, and only a
		// generation that executes can be moved. The first event may be one that the
		// caller has already.
		if (!this.directory.isAvailable(attempt.target())) {
			this.continuation.startCopy(call, now);
		}
	}

	private Optional<EngineSpec> engine(DirectCall call) {
		return this.plan.flatMap((p) -> p.findService(call.request().service())).flatMap(ServiceSpec::engine);
	}

	private void handleDeadline(DirectCall call, long now) {
		if (this.calls.get(call.number()) != call) {
			return;
		}
		boolean wasSent = call.verdict() != Verdict.NOT_RUN;
		this.completion.abandonAll(call);
		if (call.isStreaming()) {
			this.completion.cut(call, "the deadline of the request passed", now);
		}
		else if (wasSent) {
			this.completion.refuse(call, RefusalReason.LINK_LOST, "the target did not answer in time", now);
		}
		else {
			this.completion.refuse(call, RefusalReason.WAIT_TOO_LONG, "no target could be reached in time", now);
		}
	}

	private Optional<Attempt> find(long number, int attempt) {
		return Optional.ofNullable(this.calls.get(number)).flatMap((c) -> c.find(attempt));
	}

	/**
	 * Connects the {@link StreamMover} to the continuation of calls.
	 */
	private final class CallResumption implements StreamMover.Resumption {

		@Override
		public void resume(DirectCall call, List<ListedTarget> holders, ResumePoint from, long now) {
			Dispatcher.this.continuation.resume(call, holders, from, now);
		}

		@Override
		public boolean isAllowed(String service, int count, long now) {
			return Dispatcher.this.retries.allowsResumptions(service, count, now);
		}

		@Override
		public boolean acceptsWork(ListedTarget target, long now) {
			return Dispatcher.this.eligibility.acceptsWork(target, now);
		}

		@Override
		public boolean mayResume(ListedTarget target, long now) {
			return Dispatcher.this.continuation.mayResume(target, now);
		}

		@Override
		public boolean isEvacuated(ListedTarget target) {
			return Dispatcher.this.eligibility.isEvacuated(target);
		}

		@Override
		public boolean isReplaced(ListedTarget target) {
			return Dispatcher.this.directory.isFormerIncarnation(target);
		}

		@Override
		public Optional<EngineSpec> engine(DirectCall call) {
			return Dispatcher.this.engine(call);
		}

	}

}
