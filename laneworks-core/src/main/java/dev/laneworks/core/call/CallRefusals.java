package dev.laneworks.core.call;

import java.time.Duration;
import java.util.Optional;

import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Words the refusals that an entry gives by itself.
 */
final class CallRefusals {

	/**
	 * The wait told to callers for whom there is no target now; a chosen figure.
	 */
	private static final Duration NO_TARGET_RETRY = Duration.ofSeconds(1);

	private CallRefusals() {
	}

	static Refusal noTarget() {
		return Refusal.notRun(RefusalReason.NO_TARGET, "no target can take the request now", NO_TARGET_RETRY);
	}

	static Refusal notReached() {
		return Refusal.notRun(RefusalReason.LINK_LOST, "the sidecar could not be reached", NO_TARGET_RETRY);
	}

	static Refusal waitTooLong() {
		return Refusal.notRun(RefusalReason.WAIT_TOO_LONG, "no place came free within the caller's patience",
				NO_TARGET_RETRY);
	}

	static Refusal barred() {
		return Refusal.notRun(RefusalReason.WITHDRAWN, "the sidecar did not answer in time and the attempt was barred",
				NO_TARGET_RETRY);
	}

	static Refusal barUnknown() {
		return Refusal.mayHaveRun(RefusalReason.LINK_LOST,
				"the sidecar was replaced and can't tell whether the request ran");
	}

	static Refusal barUnanswered() {
		return Refusal.mayHaveRun(RefusalReason.LINK_LOST,
				"the sidecar was lost before it said whether the request runs");
	}

	// For a call without an answer from a sidecar that ended.
	static Refusal unansweredAtEnd(Call call) {
		if (call.wasHeardWhileBarring()) {
			return Refusal.mayHaveRun(RefusalReason.LEAVING, "the sidecar ended after it took the request on");
		}
		return Refusal.notRun(RefusalReason.LEAVING, "the sidecar ended without reading the request", NO_TARGET_RETRY);
	}

	static Refusal lostWhileReading(Call call) {
		String detail = "the sidecar was lost; the generation may go on and can be resumed by its position";
		return new Refusal(call.hasOutputBeenSeen() ? Verdict.RAN : Verdict.MAY_HAVE_RUN, RefusalReason.LINK_LOST,
				detail, Optional.of(NO_TARGET_RETRY));
	}

}
