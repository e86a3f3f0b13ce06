package dev.laneworks.core.dispatch;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Ends calls with an answer, a refusal or a broken stream.
 * <p>
 * Each end releases everything that the call holds, and is recorded before the caller
 * receives it.
 */
final class CallCompletion {

	private final DispatchSettings settings;

	// The open calls by number; shared with the dispatcher, which adds to them.
	private final Map<Long, DirectCall> calls;

	private final AttemptSender sender;

	private final StandbyCopies standbys;

	private final StreamMover mover;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private EndListener endListener = (call, now) -> {
	};

	CallCompletion(DispatchSettings settings, Map<Long, DirectCall> calls, AttemptSender sender, StandbyCopies standbys,
			StreamMover mover, DispatchOutputs outputs, AuditSink audit) {
		this.settings = settings;
		this.calls = calls;
		this.sender = sender;
		this.standbys = standbys;
		this.mover = mover;
		this.outputs = outputs;
		this.audit = audit;
	}

	// Sets the listener for calls that end in any way.
	void onEnd(EndListener listener) {
		this.endListener = listener;
	}

	// Ends a call whose target, or whose execution there, is lost.
	void endAsLost(DirectCall call, String cause, long now) {
		if (call.isStreaming()) {
			cut(call, cause, now);
		}
		else {
			refuse(call, RefusalReason.TARGET_LOST, cause, now);
		}
	}

	// Refuses a call for which no target is eligible.
	void refuse(DirectCall call, RefusalReason reason, NoTargetReason noTargetReason, long now) {
		refuse(call, reason, noTargetReason.detail(),
				noTargetReason.retryAfterMillis().orElse(this.settings.retryAfterMillis()), now);
	}

	void refuse(DirectCall call, RefusalReason reason, String detail, long now) {
		refuse(call, reason, detail, this.settings.retryAfterMillis(), now);
	}

	private void refuse(DirectCall call, RefusalReason reason, String detail, long retryAfterMillis, long now) {
		abandonAll(call);
		Refusal refusal = refusal(call.verdict(), reason, detail, retryAfterMillis);
		finish(call, AuditKind.REFUSED,
				refusal.reason().label() + ", " + refusal.verdict().label() + ": " + refusal.detail(), now);
		this.outputs.refuse(call.number(), refusal);
	}

	// Reasons that promise "not run" are replaced if the request may have been executed.
	private static Refusal refusal(Verdict verdict, RefusalReason reason, String detail, long retryAfterMillis) {
		if (verdict == Verdict.NOT_RUN) {
			return Refusal.notRun(reason, detail, Duration.ofMillis(retryAfterMillis));
		}
		boolean impliesNotRun = reason != RefusalReason.TARGET_LOST && reason != RefusalReason.LINK_LOST;
		return new Refusal(verdict, impliesNotRun ? RefusalReason.TARGET_LOST : reason, detail, Optional.empty());
	}

	void cut(DirectCall call, String cause, long now) {
		abandonAll(call);
		finish(call, AuditKind.CUT, cause + ", after event " + call.lastEvent(), now);
		this.outputs.cutStream(call.number());
	}

	void abandonAll(DirectCall call) {
		call.successor().ifPresent((a) -> this.sender.abandon(call, a));
		call.attempt().ifPresent((a) -> this.sender.abandon(call, a));
	}

	// Removes a call from the open ones; the invoker answers the caller.
	void finish(DirectCall call, AuditKind kind, String cause, long now) {
		this.standbys.release(call);
		this.mover.release(call, now);
		call.successor().ifPresent((a) -> this.sender.abandon(call, a));
		call.attempt().ifPresent((a) -> this.sender.release(call, a));
		this.calls.remove(call.number());
		this.audit.record(call.event(kind, call.lastTarget(), cause));
		this.endListener.ended(call, now);
	}

	/** Listener for the end of calls. */
	@FunctionalInterface
	interface EndListener {

		/**
		 * Handle a call that has released everything it held.
		 * @param call the call that ended
		 * @param now the current time in milliseconds of the monotonic clock
		 */
		void ended(DirectCall call, long now);

	}

}
