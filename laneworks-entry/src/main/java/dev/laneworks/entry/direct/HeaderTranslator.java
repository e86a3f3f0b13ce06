package dev.laneworks.entry.direct;

import java.util.List;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.AnswerHead;
import dev.laneworks.core.dispatch.ProbeAnswer;
import dev.laneworks.core.dispatch.SendParameters;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.runtime.http.HttpHeader;
import dev.laneworks.runtime.http.HttpResponseHead;

/**
 * Translation between the headers of a platform's protocol and their meaning.
 *
 * @since 0.2
 */
public interface HeaderTranslator {

	/**
	 * Read the headers of a caller's request.
	 * @param headers the request headers
	 * @return the values that the headers carry
	 * @throws IllegalArgumentException if a header is malformed
	 */
	RequestMetadata readRequest(List<HttpHeader> headers);

	/**
	 * Return the request id that the caller assigned.
	 * @param headers the request headers
	 * @return the id, or empty text if the caller assigned none
	 */
	String requestId(List<HttpHeader> headers);

	/**
	 * Create the headers that are sent to a target.
	 * @param fromCaller the end-to-end headers of the caller
	 * @param target the target that receives the request
	 * @param parameters how the request is sent
	 * @param remainingMillis the time left for the target, in milliseconds
	 * @return the headers to send
	 */
	List<HttpHeader> forTarget(List<HttpHeader> fromCaller, ListedTarget target, SendParameters parameters,
			long remainingMillis);

	/**
	 * Read the head of a target's answer.
	 * @param head the status and the headers
	 * @return the values that the head carries
	 */
	AnswerHead readAnswer(HttpResponseHead head);

	/**
	 * Create the headers of a request for the identity of the process at a target's
	 * address.
	 * @param target the expected target
	 * @return the headers to send
	 * @since 0.9
	 */
	List<HttpHeader> identityHeaders(ListedTarget target);

	/**
	 * Read the identity of a process from its answer.
	 * @param head the status and the headers
	 * @param connection the connection on which it answered
	 * @return the identity that the head states
	 * @since 0.9
	 */
	ProbeAnswer readIdentity(HttpResponseHead head, ProbeAnswer.Connection connection);

	/**
	 * Create the headers of a refusal.
	 * @param refusal the reason and the retry delay
	 * @param requestId the id that the caller assigned, or empty text
	 * @return the headers to add to the answer
	 */
	List<HttpHeader> rejectionHeaders(Refusal refusal, String requestId);

}
