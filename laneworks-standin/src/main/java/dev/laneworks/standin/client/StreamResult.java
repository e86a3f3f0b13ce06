package dev.laneworks.standin.client;

import java.util.List;
import java.util.Optional;

/**
 * What a caller received of one answer.
 *
 * @param status the HTTP status
 * @param target where it ran, or empty text
 * @param route why it ran there, or empty text
 * @param tokens the tokens in the order in which they came
 * @param lastEventId the identity of the last token's event, or empty text
 * @param total the count that the last event carried, if one came
 * @param problem the problem document that ended or refused it, if one came
 * @param tokenNanos when each token came
 * @param startNanos when the request was sent
 * @since 0.1
 */
public record StreamResult(int status, String target, String route, List<String> tokens, String lastEventId,
		Optional<Long> total, Optional<String> problem, long[] tokenNanos, long startNanos) {

	/**
	 * Return whether the answer came whole.
	 * @return {@code true} if its last event came and its count is right
	 */
	public boolean isWhole() {
		return this.total.filter((t) -> t == this.tokens.size()).isPresent() && this.problem.isEmpty();
	}

	/**
	 * Return the output.
	 * @return the tokens put together
	 */
	public String text() {
		return String.join("", this.tokens);
	}

}
