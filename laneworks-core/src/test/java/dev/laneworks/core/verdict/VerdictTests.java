package dev.laneworks.core.verdict;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Verdict}. They guard against retries of requests that may have run.
 */
class VerdictTests {

	@Test
	void notRunAllowsAnotherAttemptUntilOutputIsDelivered() {
		assertThat(Verdict.NOT_RUN.allowsAnotherAttempt(false, false)).isTrue();
		assertThat(Verdict.NOT_RUN.allowsAnotherAttempt(true, true)).isFalse();
	}

	@Test
	void mayHaveRunAllowsAnotherAttemptOfRepeatableRequestsOnly() {
		assertThat(Verdict.MAY_HAVE_RUN.allowsAnotherAttempt(true, false)).isTrue();
		assertThat(Verdict.MAY_HAVE_RUN.allowsAnotherAttempt(false, false)).isFalse();
		assertThat(Verdict.MAY_HAVE_RUN.allowsAnotherAttempt(true, true)).isFalse();
	}

	@Test
	void ranNeverAllowsAnotherAttempt() {
		assertThat(Verdict.RAN.allowsAnotherAttempt(true, false)).isFalse();
	}

}
