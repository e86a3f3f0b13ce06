package dev.laneworks.core.dispatch;

import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that the caller of a request that must not be repeated receives a promise only if
 * the request did not run: the status of a failed execution was passed on as one.
 */
class UnprovedPromiseTests {

	private static final int[] PROMISES = { 408, 429, 503 };

	private DispatchHarness harness;

	@Test
	void unprovedPromiseBecomesALostAnswer() {
		for (int status : PROMISES) {
			assertWithMessage("unsafe %s", status).that(answerOnce(RequestKind.UNSAFE, 3, status, false))
				.isEqualTo("refused 502");
			assertThat(this.harness.refusals.get(1L).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			assertThat(this.harness.refusals.get(1L).retryAfter().isEmpty()).isTrue();
			assertWithMessage("stream %s", status).that(answerOnce(RequestKind.STREAMING, 3, status, false))
				.isEqualTo("refused 502");
		}
	}

	@Test
	void repeatableRequestIsSentAgainAfterAnUnprovedPromise() {
		for (int status : PROMISES) {
			assertWithMessage("%s", status).that(answerOnce(RequestKind.SAFE, 2, status, false))
				.isEqualTo("sent again");
			this.harness.answer(this.harness.sendLast(), 200, false);
			assertThat(this.harness.answers(1)).containsExactly("delivered 2");
			assertWithMessage("%s, one attempt", status).that(answerOnce(RequestKind.SAFE, 1, status, false))
				.isEqualTo("delivered 1");
		}
	}

	@Test
	void statedRejectionIsSentElsewhere() {
		for (int status : new int[] { 400, 408, 421, 429, 500, 503 }) {
			for (RequestKind kind : RequestKind.values()) {
				assertWithMessage("%s %s", kind, status).that(answerOnce(kind, 1, status, true))
					.isEqualTo("sent again");
				this.harness.answer(this.harness.sendLast(), status, true);
				assertThat(this.harness.answers(1)).containsExactly("refused 503");
			}
		}
		assertThat(answerOnce(RequestKind.UNSAFE, 1, 421, false)).isEqualTo("sent again");
	}

	// Guards against a second execution of a request whose success carries the statement.
	@Test
	void successWithTheStatementAllowsNoSecondExecution() {
		for (int status : new int[] { 200, 204, 301 }) {
			assertWithMessage("unsafe %s", status).that(answerOnce(RequestKind.UNSAFE, 3, status, true))
				.isEqualTo("refused 502");
			assertWithMessage("safe %s", status).that(answerOnce(RequestKind.SAFE, 1, status, true))
				.isEqualTo("refused 502");
			assertWithMessage("safe %s", status).that(answerOnce(RequestKind.SAFE, 2, status, true))
				.isEqualTo("sent again");
		}
	}

	@Test
	void otherFailuresArePassedOn() {
		for (int status : new int[] { 400, 404, 500, 502, 504 }) {
			assertWithMessage("%s", status).that(answerOnce(RequestKind.UNSAFE, 1, status, false))
				.isEqualTo("delivered 1");
		}
	}

	// Returns how the first of two targets was answered for, or that the request went on.
	private String answerOnce(RequestKind kind, int maxAttempts, int status, boolean isStated) {
		this.harness = DispatchHarness.create();
		this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.join(DispatchHarness.PLAIN, "b");
		this.harness.open(1, kind, maxAttempts);
		Sent sent = this.harness.sendLast();
		this.harness.answer(sent, status, isStated);
		boolean isSentAgain = this.harness.sent.size() > 1;
		return isSentAgain ? "sent again" : this.harness.answers(1).get(0);
	}

}
