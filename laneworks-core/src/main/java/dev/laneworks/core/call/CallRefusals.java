package dev.laneworks.core.call;

import java.time.Duration;
import java.util.Optional;

import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Factory of the refusals that originate at an entry.
 */
final class CallRefusals {

	/** Retry delay of callers for whom no target is available. */
	private static final Duration NO_TARGET_RETRY = Duration.ofSeconds(1);

	private CallRefusals() {
	}

	static Refusal noTarget() {
		return Refusal.notRun(RefusalReason.NO_TARGET, "no target can accept the request now", NO_TARGET_RETRY);
	}

	static Refusal unreachable() {
		return Refusal.notRun(RefusalReason.LINK_LOST, "the sidecar could not be reached", NO_TARGET_RETRY);
	}

	static Refusal waitTooLong() {
		return Refusal.notRun(RefusalReason.WAIT_TOO_LONG, "no slot became free within the caller's timeout",
				NO_TARGET_RETRY);
	}

	static Refusal revoked() {
		return Refusal.notRun(RefusalReason.WITHDRAWN, "the sidecar did not answer in time and the attempt was revoked",
				NO_TARGET_RETRY);
	}

	static Refusal revocationUnknown() {
		return Refusal.mayHaveRun(RefusalReason.LINK_LOST,
				"the sidecar was replaced and it is unknown whether the request ran");
	}

	static Refusal revocationUnanswered() {
		return Refusal.mayHaveRun(RefusalReason.LINK_LOST,
				"the sidecar was lost before it reported whether the request ran");
	}

	// For a call that was unanswered when its sidecar shut down. A sidecar that ends
	// without
	// an answer to a revocation may have read the request on an earlier link.
	static Refusal unansweredAtShutdown(Call call) {
		if (call.phase() == CallPhase.REVOKING) {
			return revocationUnanswered();
		}
		if (call.wasAnsweredWhileRevoking()) {
			return Refusal.mayHaveRun(RefusalReason.LEAVING, "the sidecar ended after it accepted the request");
		}
		return Refusal.notRun(RefusalReason.LEAVING, "the sidecar ended without reading the request", NO_TARGET_RETRY);
	}

	static Refusal lostWhileReading(Call call) {
		String detail = "the sidecar was lost; the generation may continue and can be resumed at its position";
		return new Refusal(call.hasOutputBeenSeen() ? Verdict.RAN : Verdict.MAY_HAVE_RUN, RefusalReason.LINK_LOST,
				detail, Optional.of(NO_TARGET_RETRY));
	}

}
