package dev.laneworks.entry.direct;

import java.util.List;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.AnswerHead;
import dev.laneworks.core.dispatch.SendOrder;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.runtime.http.HttpHeader;
import dev.laneworks.runtime.http.HttpResponseHead;

/**
 * Translates between headers of a platform's protocol and what they mean.
 *
 * @since 0.2
 */
public interface HeaderTranslation {

	/**
	 * Read a caller's request.
	 * @param headers the request's headers
	 * @return what they say
	 * @throws IllegalArgumentException if a header can't be understood
	 */
	RequestFacts readRequest(List<HttpHeader> headers);

	/**
	 * Return the caller's name for a request.
	 * @param headers the request's headers
	 * @return the name, or empty text if it gave none
	 */
	String requestId(List<HttpHeader> headers);

	/**
	 * Return the headers that a target is sent.
	 * @param fromCaller the headers that came from the caller, without those of its
	 * connection
	 * @param target the target
	 * @param order how the request is sent
	 * @param leftMillis the time that the target is given, in milliseconds
	 * @return the headers
	 */
	List<HttpHeader> forTarget(List<HttpHeader> fromCaller, ListedTarget target, SendOrder order, long leftMillis);

	/**
	 * Read the head of a target's answer.
	 * @param head the head
	 * @return what it says
	 */
	AnswerHead readAnswer(HttpResponseHead head);

	/**
	 * Return the headers of a refusal.
	 * @param refusal the refusal
	 * @param requestId the caller's name for the request, or empty text
	 * @return the headers
	 */
	List<HttpHeader> forRefusal(Refusal refusal, String requestId);

}
