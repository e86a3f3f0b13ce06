package dev.laneworks.core.dispatch;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Handles the end of an attempt: another attempt, resumption at a copy, or the end of the
 * call. Records each success and failure in the quality estimate of the target.
 */
final class AttemptOutcomes {

	private final DispatchSettings settings;

	private final TargetDirectory directory;

	private final TargetEstimates estimates;

	private final AttemptSender sender;

	private final AttemptScheduler scheduler;

	private final Continuation continuation;

	private final CallCompletion completion;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	AttemptOutcomes(DispatchSettings settings, TargetDirectory directory, TargetEstimates estimates,
			AttemptSender sender, AttemptScheduler scheduler, Continuation continuation, CallCompletion completion,
			DispatchOutputs outputs, AuditSink audit) {
		this.settings = settings;
		this.directory = directory;
		this.estimates = estimates;
		this.sender = sender;
		this.scheduler = scheduler;
		this.continuation = continuation;
		this.completion = completion;
		this.outputs = outputs;
		this.audit = audit;
	}

	/**
	 * Handle a target that has not answered for far longer than its requests usually
	 * take.
	 * @param call the request being dispatched
	 * @param attempt the attempt without an answer
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleNoResponse(DirectCall call, Attempt attempt, long now) {
		recordFailure(attempt.target(), "no answer for " + (now - attempt.sentAt()) + " ms", now);
		call.recordPossibleRun();
		if (this.scheduler.mayRetry(call, attempt, now)) {
			this.scheduler.retry(call, attempt, "no answer from the target", now);
		}
	}

	/**
	 * Handle the answer of a target that may have executed the request. The caller
	 * receives it unless its status would promise that the request did not run.
	 * @param call the request being dispatched
	 * @param attempt the answered attempt
	 * @param head the parsed head of the answer
	 * @param end how the body ended
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleAnswer(DirectCall call, Attempt attempt, AnswerHead head, AnswerEnd end, long now) {
		call.recordPossibleRun();
		if (head.meaning().isFailure()) {
			recordFailure(attempt.target(), "status " + head.status(), now);
			if (this.scheduler.mayRetry(call, attempt, now)) {
				this.scheduler.retry(call, attempt, "status " + head.status(), now);
				return;
			}
		}
		else {
			recordSuccess(attempt, now);
		}
		if (!head.meaning().isDeliverable(call.request().route().kind().isRepeatable())) {
			this.completion.refuse(call, RefusalReason.TARGET_LOST, "status " + head.status() + " at "
					+ attempt.target().id() + " without a statement that the request did not run", now);
			return;
		}
		this.completion.finish(call, AuditKind.ANSWERED,
				"status " + head.status() + " after " + (now - call.openedAt()) + " ms, " + end.describe(), now);
		this.outputs.deliver(call.number(), attempt.number());
	}

	/**
	 * Handle an answer which states that the target did not execute the request.
	 * @param call the request being dispatched
	 * @param attempt the answered attempt
	 * @param head the parsed head of the answer
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleNotRun(DirectCall call, Attempt attempt, AnswerHead head, long now) {
		ListedTarget target = attempt.target();
		call.recordNotRun();
		if (head.isMisdirected()) {
			this.directory.requestRejected(target.incarnation());
		}
		else {
			this.estimates.of(target).markFull(now + this.settings.retryAfterMillis());
		}
		this.audit.record(call.event(AuditKind.RETRIED, target.id(), "not run there: status " + head.status()));
		handleNotAccepted(call, attempt, "status " + head.status(), now);
	}

	/**
	 * Handle an attempt that the target did not execute or never received.
	 * @param call the request being dispatched
	 * @param attempt the attempt to end
	 * @param cause the observed error
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleNotAccepted(DirectCall call, Attempt attempt, String cause, long now) {
		boolean wasSuccessor = call.isSuccessor(attempt);
		this.sender.release(call, attempt);
		if (wasSuccessor) {
			this.continuation.continueWithoutCopy(call, now);
		}
		else if (this.continuation.resumeAtOtherHolder(call, attempt, cause, now)) {
			return;
		}
		else if (call.isStreaming() || attempt.resume().isPresent()) {
			this.completion.endAsLost(call,
					"the generation could not resume at " + attempt.target().id() + ": " + cause, now);
		}
		else {
			call.tried().add(attempt.target().id());
			this.scheduler.dispatch(call, now);
		}
	}

	/**
	 * Handle an attempt that broke off, or whose answer does not belong to the request.
	 * @param call the request being dispatched
	 * @param attempt the failed attempt
	 * @param cause the observed error
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleFailure(DirectCall call, Attempt attempt, String cause, long now) {
		ListedTarget target = attempt.target();
		if (this.directory.isAvailable(target)) {
			recordFailure(target, cause, now);
		}
		if (!attempt.isAnswering()) {
			call.recordPossibleRun();
		}
		if (call.isSuccessor(attempt)) {
			this.sender.abandon(call, attempt);
			this.continuation.continueWithoutCopy(call, now);
		}
		else if (call.successor().isPresent()) {
			this.sender.abandon(call, attempt);
		}
		else if (attempt.resume().isPresent() && !attempt.isAnswering() && !call.holders().isEmpty()) {
			this.sender.abandon(call, attempt);
			if (!this.continuation.resumeAtOtherHolder(call, attempt, cause, now)) {
				this.completion.endAsLost(call, cause + " at " + target.id(), now);
			}
		}
		else if (call.request().size().isPresent() && (this.continuation.resumeAtBackup(call, cause, now)
				|| this.continuation.resumeAtStandby(call, cause, now))) {
			this.sender.abandon(call, attempt);
		}
		else if (!call.isStreaming() && this.scheduler.mayRetry(call, attempt, now)) {
			this.scheduler.retry(call, attempt, cause, now);
		}
		else {
			this.completion.endAsLost(call, cause + " at " + target.id(), now);
		}
	}

	void recordSuccess(Attempt attempt, long now) {
		TargetEstimate estimate = this.estimates.of(attempt.target());
		estimate.quality().recordSuccess(now - attempt.sentAt(), now);
		double load = this.estimates.requests(attempt.target(), now) / Math.max(1, attempt.target().slots());
		estimate.speed().recordResponse(now - attempt.sentAt(), load, now);
	}

	private void recordFailure(ListedTarget target, String cause, long now) {
		TargetQuality quality = this.estimates.of(target).quality();
		if (quality.recordFailure(this.estimates.peersFailureRate(target, now), now)) {
			this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target.id(), target.id(),
					"ejected: " + cause + ", recent bad answers " + Math.round(100 * quality.failureRate(now)) + "%"));
		}
	}

}
