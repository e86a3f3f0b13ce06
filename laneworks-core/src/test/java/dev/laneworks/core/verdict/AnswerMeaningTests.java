package dev.laneworks.core.verdict;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that no answer which may follow an execution is taken for a promise that there
 * was none, for each status.
 */
class AnswerMeaningTests {

	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	@Test
	void promiseReachesNoCallerOfARequestThatMustNotBeRepeated() {
		for (int status = 200; status < 600; status++) {
			for (boolean isStated : new boolean[] { true, false }) {
				AnswerMeaning meaning = AnswerMeaning.of(status, isStated);
				if (PROMISES.contains(status)) {
					assertWithMessage("%s %s", status, isStated).that(meaning.isDeliverable(false)).isFalse();
				}
				else if (!isStated) {
					assertWithMessage("%s", status).that(meaning.isDeliverable(false)).isTrue();
				}
			}
		}
	}

	@Test
	void onlyTheStatementProvesThatARequestDidNotRun() {
		for (int status = 200; status < 600; status++) {
			assertWithMessage("%s unstated", status).that(AnswerMeaning.of(status, false) == AnswerMeaning.NOT_RUN)
				.isEqualTo(status == 421);
			assertWithMessage("%s stated", status).that(AnswerMeaning.of(status, true))
				.isEqualTo((status < 400) ? AnswerMeaning.CONTRADICTION : AnswerMeaning.NOT_RUN);
		}
	}

	@Test
	void failuresAreNoResults() {
		for (int status : new int[] { 408, 429, 500, 502, 503, 504, 599 }) {
			assertWithMessage("%s", status).that(AnswerMeaning.of(status, false).isFailure()).isTrue();
		}
		for (int status : new int[] { 200, 204, 301, 400, 404, 409, 421 }) {
			assertWithMessage("%s", status).that(AnswerMeaning.of(status, false).isFailure()).isFalse();
		}
	}

}
