package dev.laneworks.core.call;

import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.RevocationOutcome;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.retry.RetryBudget;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Handles sidecar messages of a call's current stream.
 */
final class SidecarMessageHandler {

	/**
	 * Number of credit messages per window, which limits messages without stalling the
	 * output.
	 */
	private static final int CREDITS_PER_WINDOW = 4;

	private final CallContext context;

	private final RetryBudget budget;

	private final AttemptDispatcher dispatcher;

	private final RetryHandler retryHandler;

	private final CallTerminator terminator;

	SidecarMessageHandler(CallContext context, RetryBudget budget, AttemptDispatcher dispatcher,
			RetryHandler retryHandler, CallTerminator terminator) {
		this.context = context;
		this.budget = budget;
		this.dispatcher = dispatcher;
		this.retryHandler = retryHandler;
		this.terminator = terminator;
	}

	void handle(Call call, SidecarMessage.StreamMessage message, long now) {
		if (call.phase() == CallPhase.REVOKING) {
			call.recordAnswerWhileRevoking();
		}
		if (message instanceof SidecarMessage.Accepted) {
			handleAccepted(call);
		}
		else if (message instanceof SidecarMessage.Chunk chunk) {
			handleChunk(call, chunk, now);
		}
		else if (message instanceof SidecarMessage.End end) {
			handleEnd(call, end, now);
		}
		else if (message instanceof SidecarMessage.Refused refused) {
			handleRefusal(call, refused.refusal(), now);
		}
		else if (message instanceof SidecarMessage.RevokeResult result) {
			handleRevokeResult(call, result.outcome(), now);
		}
	}

	// Grants the sidecar more credit if enough output was read since the last grant.
	void grantCredit(Call call) {
		int window = this.context.settings().window();
		long limit = call.readOffset() + window;
		boolean isWorthSending = limit - call.creditLimit() >= Math.max(1, window / CREDITS_PER_WINDOW);
		if (call.phase() == CallPhase.READING && isWorthSending) {
			call.setCreditLimit(limit);
			this.context.outputs().send(call.target(), new EntryMessage.Credit(call.stream(), limit));
		}
	}

	private void handleAccepted(Call call) {
		if (call.phase() != CallPhase.SUBMITTED && call.phase() != CallPhase.REATTACHING) {
			this.context.counters().droppedMessages().increment();
			return;
		}
		this.context.targets().reportSuccess(call.target());
		call.enter(CallPhase.READING, Call.NO_TIMER);
		if (call.markAnnounced()) {
			this.context.outputs().accepted(call.number(), position(call), call.route());
		}
		// The caller may have read output while no credit could be sent.
		grantCredit(call);
	}

	private void handleChunk(Call call, SidecarMessage.Chunk chunk, long now) {
		if (call.phase() != CallPhase.READING || chunk.offset() < call.nextOffset()) {
			this.context.counters().droppedMessages().increment();
			return;
		}
		if (chunk.offset() > call.nextOffset()) {
			this.context.counters().droppedMessages().increment();
			this.dispatcher.reattach(call, now);
			return;
		}
		call.advance();
		this.context.counters().delivered().increment();
		this.context.outputs().deliver(call.number(), chunk.offset(), chunk.data());
	}

	private void handleEnd(Call call, SidecarMessage.End end, long now) {
		if (call.phase() != CallPhase.READING) {
			this.context.counters().droppedMessages().increment();
			return;
		}
		if (end.total() != call.nextOffset()) {
			this.context.counters().droppedMessages().increment();
			this.dispatcher.reattach(call, now);
			return;
		}
		this.budget.recordSuccess();
		this.context.counters().finished().increment();
		this.terminator.close(call);
		this.context.outputs().finish(call.number(), end.total(), end.reason());
	}

	private void handleRefusal(Call call, Refusal refusal, long now) {
		if (call.phase() == CallPhase.REVOKING) {
			// The answer crossed the revocation, whose result is no longer needed.
			this.retryHandler.handleFailedAttempt(call, refusal, now);
			return;
		}
		if (refusal.reason() == RefusalReason.LEAVING) {
			this.context.targets().state(call.target()).recordDraining();
		}
		if (refusal.reason() == RefusalReason.TARGET_LOST) {
			this.context.targets().reportFailure(call.target(), refusal.detail(), now);
		}
		else {
			this.context.targets().reportSuccess(call.target());
		}
		this.retryHandler.handleFailedAttempt(call, refusal, now);
	}

	private void handleRevokeResult(Call call, RevocationOutcome outcome, long now) {
		if (call.phase() != CallPhase.REVOKING) {
			this.context.counters().droppedMessages().increment();
			return;
		}
		switch (outcome) {
			case BARRED -> this.retryHandler.handleFailedAttempt(call, CallRefusals.revoked(), now);
			case HAS_RUN -> this.dispatcher.reattach(call, now);
			case UNKNOWN -> this.retryHandler.handleFailedAttempt(call, CallRefusals.revocationUnknown(), now);
		}
	}

	private StreamPosition position(Call call) {
		return new StreamPosition(call.target(), call.incarnation(), call.generation(), call.work().account(),
				call.nextOffset());
	}

}
