package dev.laneworks.standin.client;

import java.util.List;
import java.util.Optional;

/**
 * Result of a streamed request: the part of the response that the client received.
 *
 * @param status the HTTP status
 * @param target the name of the target that executed the request, or an empty string
 * @param route the reason for the choice of this target, or an empty string
 * @param tokens the texts of the tokens in the order of arrival
 * @param lastEventId the ID of the last token's event, or an empty string
 * @param reportedTokenCount the number of output tokens according to the last event, or
 * empty if it was not received
 * @param problem the problem document with which the request was refused or the stream
 * ended, or empty if there was none
 * @param tokenNanos the arrival time of each token, as of {@link System#nanoTime()}
 * @param startNanos the time at which the request was sent, on the same clock
 * @since 0.1
 */
public record StreamResult(int status, String target, String route, List<String> tokens, String lastEventId,
		Optional<Long> reportedTokenCount, Optional<String> problem, long[] tokenNanos, long startNanos) {

	/**
	 * Determine whether the response was received completely.
	 * @return {@code true} if the reported number of tokens was received without a
	 * problem
	 */
	public boolean isComplete() {
		return this.reportedTokenCount.filter((t) -> t == this.tokens.size()).isPresent() && this.problem.isEmpty();
	}

	/**
	 * Return the text of the output.
	 * @return the concatenated tokens
	 */
	public String text() {
		return String.join("", this.tokens);
	}

}
