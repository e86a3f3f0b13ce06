package dev.laneworks.core.call;

import dev.laneworks.core.message.BarOutcome;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.retry.RetryBudget;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Takes what sidecars answer to a call's current stream.
 */
final class SidecarAnswers {

	/**
	 * Into how many parts the window is cut: the sidecar is allowed more once a part was
	 * read, so that it does not run dry and no message is sent for each piece; a chosen
	 * figure.
	 */
	private static final int CREDITS_PER_WINDOW = 4;

	private final CallParts parts;

	private final RetryBudget budget;

	private final Attempts attempts;

	private final Retries retries;

	private final CallEnd end;

	SidecarAnswers(CallParts parts, RetryBudget budget, Attempts attempts, Retries retries, CallEnd end) {
		this.parts = parts;
		this.budget = budget;
		this.attempts = attempts;
		this.retries = retries;
		this.end = end;
	}

	void take(Call call, SidecarMessage.OfStream message, long now) {
		if (call.phase() == CallPhase.BARRING) {
			call.heardWhileBarring();
		}
		if (message instanceof SidecarMessage.Accepted) {
			accepted(call);
		}
		else if (message instanceof SidecarMessage.Chunk chunk) {
			chunk(call, chunk, now);
		}
		else if (message instanceof SidecarMessage.End atEnd) {
			ended(call, atEnd, now);
		}
		else if (message instanceof SidecarMessage.Refused refused) {
			refused(call, refused.refusal(), now);
		}
		else if (message instanceof SidecarMessage.BarResult result) {
			barAnswered(call, result.outcome(), now);
		}
	}

	// Allows the sidecar more output, if that is worth a message.
	void grantCredit(Call call) {
		int window = this.parts.settings().window();
		long limit = call.readOffset() + window;
		boolean worthSending = limit - call.creditLimit() >= Math.max(1, window / CREDITS_PER_WINDOW);
		if (call.phase() == CallPhase.READING && worthSending) {
			call.setCreditLimit(limit);
			this.parts.outputs().send(call.target(), new EntryMessage.Credit(call.stream(), limit));
		}
	}

	private void accepted(Call call) {
		if (call.phase() != CallPhase.SUBMITTED && call.phase() != CallPhase.REATTACHING) {
			this.parts.counters().strays().increment();
			return;
		}
		this.parts.targets().succeeded(call.target());
		call.enter(CallPhase.READING, Call.NO_TIMER);
		if (call.announce()) {
			this.parts.outputs().accepted(call.number(), position(call), call.route());
		}
		// The caller may have read on while no credit could be sent.
		grantCredit(call);
	}

	private void chunk(Call call, SidecarMessage.Chunk chunk, long now) {
		if (call.phase() != CallPhase.READING || chunk.offset() < call.nextOffset()) {
			this.parts.counters().strays().increment();
			return;
		}
		if (chunk.offset() > call.nextOffset()) {
			this.parts.counters().strays().increment();
			this.attempts.reattach(call, now);
			return;
		}
		call.advance();
		this.parts.counters().delivered().increment();
		this.parts.outputs().deliver(call.number(), chunk.offset(), chunk.data());
	}

	private void ended(Call call, SidecarMessage.End atEnd, long now) {
		if (call.phase() != CallPhase.READING) {
			this.parts.counters().strays().increment();
			return;
		}
		if (atEnd.total() != call.nextOffset()) {
			this.parts.counters().strays().increment();
			this.attempts.reattach(call, now);
			return;
		}
		this.budget.recordSuccess();
		this.parts.counters().finished().increment();
		this.end.close(call);
		this.parts.outputs().finish(call.number(), atEnd.total(), atEnd.reason());
	}

	private void refused(Call call, Refusal refusal, long now) {
		if (call.phase() == CallPhase.BARRING) {
			// The answer to the request crossed the wish to bar it; it says all that the
			// bar would.
			this.retries.attemptFailed(call, refusal, now);
			return;
		}
		if (refusal.reason() == RefusalReason.LEAVING) {
			this.parts.targets().state(call.target()).recordLeaving();
		}
		if (refusal.reason() == RefusalReason.TARGET_LOST) {
			this.parts.targets().failed(call.target(), refusal.detail(), now);
		}
		else {
			this.parts.targets().succeeded(call.target());
		}
		this.retries.attemptFailed(call, refusal, now);
	}

	private void barAnswered(Call call, BarOutcome outcome, long now) {
		if (call.phase() != CallPhase.BARRING) {
			this.parts.counters().strays().increment();
			return;
		}
		switch (outcome) {
			case BARRED -> this.retries.attemptFailed(call, CallRefusals.barred(), now);
			case HAS_RUN -> this.attempts.reattach(call, now);
			case UNKNOWN -> this.retries.attemptFailed(call, CallRefusals.barUnknown(), now);
		}
	}

	private StreamPosition position(Call call) {
		return new StreamPosition(call.target(), call.incarnation(), call.generation(), call.work().account(),
				call.nextOffset());
	}

}
