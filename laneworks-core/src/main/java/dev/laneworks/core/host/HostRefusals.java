package dev.laneworks.core.host;

import java.time.Duration;
import java.util.Optional;

import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Words the refusals that a host gives in more than one place.
 */
final class HostRefusals {

	/**
	 * The least wait told to those who are to come back here, in milliseconds; a chosen
	 * figure.
	 */
	static final long LEAST_RETRY_MILLIS = 500;

	/**
	 * The wait told to those who are to try another target, in milliseconds; short, since
	 * that one may have a place at once.
	 */
	private static final long RETRY_ELSEWHERE_MILLIS = 50;

	private HostRefusals() {
	}

	static Refusal tryElsewhere(RefusalReason reason, String detail) {
		return Refusal.notRun(reason, detail, Duration.ofMillis(RETRY_ELSEWHERE_MILLIS));
	}

	static Refusal leaving() {
		return tryElsewhere(RefusalReason.LEAVING, "the target is leaving");
	}

	static Refusal comeBack(RefusalReason reason, String detail) {
		return Refusal.notRun(reason, detail, Duration.ofMillis(LEAST_RETRY_MILLIS));
	}

	// It can't be told whether an earlier try with the key ran; the doubt ends when names
	// are forgotten.
	static Refusal inDoubt(String detail, long memoryMillis) {
		return new Refusal(Verdict.MAY_HAVE_RUN, RefusalReason.KEY_IN_DOUBT, "not run this time: " + detail,
				Optional.of(Duration.ofMillis(memoryMillis)));
	}

	static Refusal lostAnswer(Generation generation, String detail) {
		return (generation.log().size() > 0) ? Refusal.ran(RefusalReason.TARGET_LOST, detail)
				: Refusal.mayHaveRun(RefusalReason.TARGET_LOST, detail);
	}

}
