package dev.laneworks.sidecar.target;

import java.util.List;

import dev.laneworks.core.verdict.AnswerMeaning;
import dev.laneworks.core.verdict.Verdict;
import dev.laneworks.runtime.http.HttpResponseHead;

/**
 * Header with which a target states that it did not execute a request and never will.
 */
final class TargetStatement {

	private static final String VERDICT = "Laneworks-Verdict";

	private TargetStatement() {
	}

	/**
	 * Determine what a complete answer proves about the execution of its request.
	 * @param head the status and headers of the answer
	 * @return the meaning of status and statement
	 */
	static AnswerMeaning meaning(HttpResponseHead head) {
		List<String> verdicts = head.all(VERDICT);
		boolean statesNotRun = !verdicts.isEmpty() && verdicts.stream().allMatch(Verdict.NOT_RUN.label()::equals);
		return AnswerMeaning.of(head.status(), statesNotRun);
	}

}
