package dev.laneworks.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.time.Timers;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Carries each request through its attempts to one final answer.
 * <p>
 * A request has run, as far as is known here, from the moment its first byte goes out
 * until its target says that it did not run it. Only what did not run, or may run more
 * than once, is sent again. Pure code over explicit time; not thread-safe.
 *
 * @since 0.2
 */
public final class Dispatcher {

	private final DispatchSettings settings;

	private final TargetDirectory directory;

	private final TargetBeliefs beliefs;

	private final TargetChooser chooser;

	private final RetryWindow retries;

	private final Timers timers;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final StreamMover mover;

	private final Map<Long, DirectCall> calls = new HashMap<>();

	private Optional<ServingPlan> plan = Optional.empty();

	/**
	 * Create a dispatcher.
	 * @param settings the times that it decides by
	 * @param directory the targets
	 * @param beliefs what is believed of them
	 * @param chooser chooses among them
	 * @param retries the process's part of the bound on repeated sendings
	 * @param timers what is due later
	 * @param outputs takes what was decided
	 * @param audit takes why
	 */
	public Dispatcher(DispatchSettings settings, TargetDirectory directory, TargetBeliefs beliefs,
			TargetChooser chooser, RetryWindow retries, Timers timers, DispatchOutputs outputs, AuditSink audit) {
		this.settings = settings;
		this.directory = directory;
		this.beliefs = beliefs;
		this.chooser = chooser;
		this.retries = retries;
		this.timers = timers;
		this.outputs = outputs;
		this.audit = audit;
		this.mover = new StreamMover(chooser, beliefs, timers, outputs, audit, new CallResumption());
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
		this.timers.at(call.dueAt() + this.settings.answerSlackMillis(), (t) -> overdue(call, t));
		offer(call, now);
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
		DirectCall call = current(number, attempt);
		if (call == null) {
			return OptionalLong.empty();
		}
		long left = call.dueAt() - now;
		ListedTarget target = call.attempt().target();
		if (left <= 0) {
			return OptionalLong.empty();
		}
		if (call.attempt().resume().isEmpty() && !this.directory.takesWork(target.id())) {
			this.timers.at(now, (t) -> connectFailed(number, attempt, "the target is leaving", t));
			return OptionalLong.empty();
		}
		call.attempt().sent(now);
		call.arrived();
		this.beliefs.of(target).quality().recordSent(now);
		if (!call.request().route().kind().equals(RequestKind.STREAMING)) {
			long silentAt = now + (long) (call.request().route().goalMillis() * this.settings.silenceGoals());
			this.timers.at(silentAt, (t) -> silent(call, attempt, t));
		}
		return OptionalLong.of(left);
	}

	/**
	 * Take that a connection did not come up, so that nothing was sent.
	 * @param number the call
	 * @param attempt the attempt
	 * @param cause what was seen
	 * @param now the time in milliseconds
	 */
	public void connectFailed(long number, int attempt, String cause, long now) {
		DirectCall call = current(number, attempt);
		if (call == null || call.attempt().isSent()) {
			return;
		}
		ListedTarget target = call.attempt().target();
		if (this.directory.takesWork(target.id())) {
			this.beliefs.of(target).quality().recordUnreachable(now);
		}
		endAttempt(call);
		if (call.isStreaming()) {
			cut(call, "no connection to the copy's engine " + target.id() + ": " + cause);
			return;
		}
		record(AuditKind.RETRIED, call, target, "nothing was sent: " + cause);
		call.tried().add(target.id());
		offer(call, now);
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
		DirectCall call = current(number, attempt);
		if (call == null) {
			return false;
		}
		head.load().ifPresent((l) -> this.beliefs.of(call.attempt().target()).told(l, now));
		return head.isSuccess() && head.events() && head.answers(call.request().id());
	}

	/**
	 * Take a whole answer.
	 * @param number the call
	 * @param attempt the attempt
	 * @param head its head
	 * @param now the time in milliseconds
	 */
	public void answered(long number, int attempt, AnswerHead head, long now) {
		DirectCall call = current(number, attempt);
		if (call == null) {
			return;
		}
		if (!head.answers(call.request().id())) {
			failed(call, "the answer is not one to this request: status " + head.status(), now);
			return;
		}
		if (head.saysNotRun()) {
			notRun(call, head, now);
			return;
		}
		call.mayHaveRun();
		if (call.isStreaming()) {
			endAttempt(call);
			cut(call, "the copy's engine answered " + head.status());
			return;
		}
		if (head.isServerError()) {
			recordBad(call.attempt().target(), "status " + head.status(), now);
			if (mayTryAgain(call, now)) {
				tryAgain(call, "status " + head.status(), now);
				return;
			}
		}
		else {
			recordGood(call, now);
		}
		finish(call, AuditKind.ANSWERED, "status " + head.status() + " after " + (now - call.openedAt()) + " ms");
		this.outputs.deliver(number, attempt);
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
		DirectCall call = current(number, attempt);
		if (call == null) {
			return false;
		}
		if (!call.attempt().isAnswering()) {
			call.attempt().answering();
			recordGood(call, now);
			call.mayHaveRun();
		}
		if (call.lastEvent() != DirectCall.NO_EVENT && id <= call.lastEvent()) {
			return false;
		}
		if (call.lastEvent() != DirectCall.NO_EVENT && id != call.lastEvent() + 1) {
			cut(call, "event " + id + " came after event " + call.lastEvent());
			return false;
		}
		if (!call.isStreaming()) {
			call.startStreaming();
			this.outputs.startStream(number, attempt);
		}
		call.passed(id, now);
		return true;
	}

	/**
	 * Take that a stream ended in the way that its protocol tells as whole.
	 * @param number the call
	 * @param attempt the attempt
	 * @param now the time in milliseconds
	 */
	public void streamEnded(long number, int attempt, long now) {
		DirectCall call = current(number, attempt);
		if (call == null) {
			return;
		}
		if (!call.isStreaming()) {
			failed(call, "the stream ended without an event", now);
			return;
		}
		finish(call, AuditKind.ANSWERED, "stream of " + (call.lastEvent() + 1) + " events whole after "
				+ (now - call.openedAt()) + " ms, attempts " + call.attempts());
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
		DirectCall call = current(number, attempt);
		if (call == null) {
			return;
		}
		if (this.mover.expectsEnd(call, now)) {
			return;
		}
		failed(call, cause, now);
	}

	/**
	 * Take that the caller left: nothing is owed any more.
	 * @param number the call
	 * @param now the time in milliseconds
	 */
	public void callerLeft(long number, long now) {
		DirectCall call = this.calls.get(number);
		if (call == null) {
			return;
		}
		abandonAttempt(call);
		finish(call, AuditKind.CANCELLED, "the caller left after " + (now - call.openedAt()) + " ms");
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
		if (call == null) {
			if (!result.handle().isEmpty()) {
				this.outputs.releaseCopy(order.source(), result.handle());
			}
			return;
		}
		this.mover.copied(call, order, result, now);
	}

	/**
	 * Move the generations that run at a target that is leaving.
	 * @param target the target
	 * @param now the time in milliseconds
	 */
	public void leaving(ListedTarget target, long now) {
		for (DirectCall call : List.copyOf(this.calls.values())) {
			if (call.attempt() != null && call.attempt().isSent() && call.attempt().target().id().equals(target.id())) {
				moveAway(call, now);
			}
		}
	}

	private void moveAway(DirectCall call, long now) {
		engine(call).filter(EngineSpec::moves).ifPresent((e) -> this.mover.start(call, e, now));
	}

	private Optional<EngineSpec> engine(DirectCall call) {
		return this.plan.flatMap((p) -> p.service(call.request().service())).flatMap(ServiceSpec::engine);
	}

	private void offer(DirectCall call, long now) {
		if (call.attempts() >= this.settings.maxAttempts()) {
			refuse(call, RefusalReason.OVERLOADED, "no target took the request");
			return;
		}
		Optional<ListedTarget> target = choose(call, now);
		if (target.isEmpty()) {
			refuse(call, RefusalReason.NO_TARGET, "no target of the service takes work");
			return;
		}
		if (call.arrivals() > 0 && !this.retries.tryTake(call.request().service(), now)) {
			refuse(call, RefusalReason.OVERLOADED, "the budget for repeated sendings is spent");
			return;
		}
		send(call, target.get(), Optional.empty(), now);
	}

	private Optional<ListedTarget> choose(DirectCall call, long now) {
		DirectRequest request = call.request();
		Optional<EngineSpec> engine = engine(call);
		Set<String> tried = call.tried();
		if (engine.isPresent() && request.work().isPresent()) {
			return this.chooser.chooseEngine(request.service(), engine.get(), request.work().get(), tried, now);
		}
		return this.chooser.choosePlain(request.service(), tried, now);
	}

	private void send(DirectCall call, ListedTarget target, Optional<ResumePoint> resume, long now) {
		long tokens = call.request().work().map(EngineWork::meanTokens).orElse(0L);
		DirectCall.Attempt attempt = call.begin(target, resume, tokens);
		TargetBelief belief = this.beliefs.of(target);
		record(AuditKind.ROUTED, call, target,
				"attempt " + attempt.number() + ", own requests there " + belief.inFlight() + ", load "
						+ Math.round(belief.load(now)) + ", directory of " + this.directory.size());
		belief.began(tokens);
		this.timers.at(now + this.settings.connectMillis(), (t) -> connectOverdue(call, attempt, t));
		this.outputs.send(call.number(), attempt.number(), target,
				new SendOrder(call.request().account(), priority(call), resume, Optional.empty()));
	}

	private int priority(DirectCall call) {
		return call.request().route().priority();
	}

	private void connectOverdue(DirectCall call, DirectCall.Attempt attempt, long now) {
		if (isOpen(call) && call.isCurrent(attempt.number()) && !attempt.isSent()) {
			this.outputs.abandon(call.number(), attempt.number());
			connectFailed(call.number(), attempt.number(), "no connection within its time", now);
		}
	}

	private void silent(DirectCall call, int attempt, long now) {
		if (!isOpen(call) || !call.isCurrent(attempt)) {
			return;
		}
		recordBad(call.attempt().target(), "no answer for " + (now - call.attempt().sentAt()) + " ms", now);
		call.mayHaveRun();
		if (mayTryAgain(call, now)) {
			this.outputs.abandon(call.number(), attempt);
			tryAgain(call, "the target is silent", now);
		}
	}

	private void overdue(DirectCall call, long now) {
		if (!isOpen(call)) {
			return;
		}
		boolean wasSent = call.verdict() != Verdict.NOT_RUN;
		abandonAttempt(call);
		if (call.isStreaming()) {
			cut(call, "the time for the request is over");
		}
		else if (wasSent) {
			refuse(call, RefusalReason.LINK_LOST, "the target did not answer in time");
		}
		else {
			refuse(call, RefusalReason.WAIT_TOO_LONG, "no target could be reached in time");
		}
	}

	private void notRun(DirectCall call, AnswerHead head, long now) {
		DirectCall.Attempt attempt = call.attempt();
		ListedTarget target = attempt.target();
		call.didNotRun();
		endAttempt(call);
		if (head.isMisdirected()) {
			this.directory.refusedWork(target.id());
		}
		else {
			this.beliefs.of(target).full(now + this.settings.comeBackMillis());
		}
		if (call.isStreaming()) {
			cut(call, "the copy's engine did not take the generation: status " + head.status());
			return;
		}
		record(AuditKind.RETRIED, call, target, "not run there: status " + head.status());
		call.tried().add(target.id());
		offer(call, now);
	}

	private void failed(DirectCall call, String cause, long now) {
		DirectCall.Attempt attempt = call.attempt();
		ListedTarget target = attempt.target();
		if (this.directory.takesWork(target.id())) {
			recordBad(target, cause, now);
		}
		if (!attempt.isAnswering()) {
			call.mayHaveRun();
		}
		if (call.isStreaming()) {
			abandonAttempt(call);
			cut(call, cause + " at " + target.id());
			return;
		}
		if (mayTryAgain(call, now)) {
			this.outputs.abandon(call.number(), attempt.number());
			tryAgain(call, cause, now);
			return;
		}
		abandonAttempt(call);
		refuse(call, RefusalReason.TARGET_LOST, cause);
	}

	// Only what may run more than once is sent again, to another target and while there
	// is time for an answer.
	private boolean mayTryAgain(DirectCall call, long now) {
		DirectRequest request = call.request();
		boolean isAllowed = Verdict.MAY_HAVE_RUN.allowsAnotherAttempt(request.route().kind().isRepeatable(),
				call.isStreaming()) && call.runs() < request.route().maxAttempts();
		return isAllowed && call.attempts() < this.settings.maxAttempts()
				&& call.dueAt() - now > request.route().goalMillis() / 4
				&& !this.directory.serving(request.service()).isEmpty() && hasUntried(call)
				&& this.retries.tryTake(request.service(), now);
	}

	private boolean hasUntried(DirectCall call) {
		String own = call.attempt().target().id();
		return this.directory.serving(call.request().service())
			.stream()
			.anyMatch((t) -> !t.id().equals(own) && !call.tried().contains(t.id()));
	}

	private void tryAgain(DirectCall call, String cause, long now) {
		ListedTarget target = call.attempt().target();
		record(AuditKind.RETRIED, call, target, cause);
		endAttempt(call);
		call.tried().add(target.id());
		choose(call, now).ifPresentOrElse((t) -> send(call, t, Optional.empty(), now),
				() -> refuse(call, RefusalReason.TARGET_LOST, cause));
	}

	private void resume(DirectCall call, ListedTarget destination, ResumePoint from, long now) {
		abandonAttempt(call);
		if (!this.retries.tryTake(call.request().service(), now)) {
			cut(call, "the budget for repeated sendings is spent");
			return;
		}
		send(call, destination, Optional.of(from), now);
	}

	private void recordGood(DirectCall call, long now) {
		DirectCall.Attempt attempt = call.attempt();
		this.beliefs.of(attempt.target()).quality().recordGood(now - attempt.sentAt(), now);
	}

	private void recordBad(ListedTarget target, String cause, long now) {
		TargetQuality quality = this.beliefs.of(target).quality();
		if (quality.recordBad(this.beliefs.peersBadShare(target, now), now)) {
			this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target.id(), target.id(),
					"set aside: " + cause + ", bad answers of late " + Math.round(100 * quality.badShare(now)) + "%"));
		}
	}

	private void refuse(DirectCall call, RefusalReason reason, String detail) {
		abandonAttempt(call);
		Refusal refusal = refusal(call.verdict(), reason, detail);
		finish(call, AuditKind.REFUSED,
				refusal.reason().label() + ", " + refusal.verdict().label() + ": " + refusal.detail());
		this.outputs.refuse(call.number(), refusal);
	}

	// A reason that promises "not run" is given for nothing else.
	private Refusal refusal(Verdict verdict, RefusalReason reason, String detail) {
		if (verdict == Verdict.NOT_RUN) {
			return Refusal.notRun(reason, detail, Duration.ofMillis(this.settings.comeBackMillis()));
		}
		boolean promises = reason != RefusalReason.TARGET_LOST && reason != RefusalReason.LINK_LOST;
		return new Refusal(verdict, promises ? RefusalReason.TARGET_LOST : reason, detail, Optional.empty());
	}

	private void cut(DirectCall call, String cause) {
		abandonAttempt(call);
		finish(call, AuditKind.CUT, cause + ", after event " + call.lastEvent());
		this.outputs.cutStream(call.number());
	}

	private void abandonAttempt(DirectCall call) {
		if (call.attempt() != null) {
			this.outputs.abandon(call.number(), call.attempt().number());
			endAttempt(call);
		}
	}

	private void endAttempt(DirectCall call) {
		DirectCall.Attempt attempt = call.attempt();
		if (attempt != null) {
			this.beliefs.of(attempt.target()).ended(attempt.reservedTokens());
			call.endAttempt();
		}
	}

	private void finish(DirectCall call, AuditKind kind, String cause) {
		ListedTarget target = (call.attempt() != null) ? call.attempt().target() : null;
		this.mover.ended(call);
		endAttempt(call);
		this.calls.remove(call.number());
		this.audit.record(new AuditEvent(kind, call.request().id(), call.request().account(),
				(target != null) ? target.id() : "", cause));
	}

	private void record(AuditKind kind, DirectCall call, ListedTarget target, String cause) {
		this.audit.record(new AuditEvent(kind, call.request().id(), call.request().account(), target.id(), cause));
	}

	private boolean isOpen(DirectCall call) {
		return this.calls.get(call.number()) == call;
	}

	/**
	 * Lets the mover go on with a call.
	 */
	private final class CallResumption implements StreamMover.Resumption {

		@Override
		public void resume(DirectCall call, ListedTarget destination, ResumePoint from, long now) {
			Dispatcher.this.resume(call, destination, from, now);
		}

		@Override
		public void lost(DirectCall call, long now) {
			failed(call, "the generation stopped and its copy can't be used", now);
		}

		@Override
		public Optional<EngineSpec> engine(DirectCall call) {
			return Dispatcher.this.engine(call);
		}

	}

	private DirectCall current(long number, int attempt) {
		DirectCall call = this.calls.get(number);
		return (call != null && call.isCurrent(attempt)) ? call : null;
	}

}
