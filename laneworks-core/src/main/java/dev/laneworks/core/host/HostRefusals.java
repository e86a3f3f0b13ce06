package dev.laneworks.core.host;

import java.time.Duration;
import java.util.Optional;

import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Factory methods for the refusals of a host.
 */
final class HostRefusals {

	/** Minimum retry delay for callers that retry at this target. */
	static final long MIN_RETRY_MILLIS = 500;

	/**
	 * Retry delay for callers that retry at another target, which may have a free slot.
	 */
	private static final long RETRY_ELSEWHERE_MILLIS = 50;

	private HostRefusals() {
	}

	static Refusal retryElsewhere(RefusalReason reason, String detail) {
		return Refusal.notRun(reason, detail, Duration.ofMillis(RETRY_ELSEWHERE_MILLIS));
	}

	static Refusal draining() {
		return retryElsewhere(RefusalReason.LEAVING, "the target is leaving");
	}

	static Refusal retryHere(RefusalReason reason, String detail) {
		return Refusal.notRun(reason, detail, Duration.ofMillis(MIN_RETRY_MILLIS));
	}

	// The retry delay is the retention of names, after which the outcome of an earlier
	// request no longer matters.
	static Refusal keyInDoubt(String detail, long retentionMillis) {
		return new Refusal(Verdict.MAY_HAVE_RUN, RefusalReason.KEY_IN_DOUBT, "this request did not run: " + detail,
				Optional.of(Duration.ofMillis(retentionMillis)));
	}

	static Refusal outputLost(Generation generation, String detail) {
		return (generation.log().size() > 0) ? Refusal.ranInPart(RefusalReason.TARGET_LOST, detail)
				: Refusal.mayHaveRun(RefusalReason.TARGET_LOST, detail);
	}

}
