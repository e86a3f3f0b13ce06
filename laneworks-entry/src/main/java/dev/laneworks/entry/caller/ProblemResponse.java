package dev.laneworks.entry.caller;

import java.time.Duration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.runtime.http.JsonText;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/**
 * Writes refusals as problem documents (RFC 9457) that carry the verdict and, if a retry
 * is useful, the time to wait before it.
 */
public final class ProblemResponse {

	static final String CONTENT_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:laneworks:problem:";

	private static final long MILLIS_PER_SECOND = 1000;

	private ProblemResponse() {
	}

	/**
	 * Send a refusal as the response. Headers that are already set are kept; if the
	 * response has already started, the exchange is only ended.
	 * @param exchange the exchange of the refused request
	 * @param refusal the reason and the verdict for the caller
	 */
	public static void send(HttpServerExchange exchange, Refusal refusal) {
		if (exchange.isResponseStarted()) {
			exchange.endExchange();
			return;
		}
		exchange.setStatusCode(refusal.reason().status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, CONTENT_TYPE);
		if (!exchange.getResponseHeaders().contains(Headers.RETRY_AFTER)) {
			refusal.retryAfter().ifPresent((d) -> exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds(d)));
		}
		exchange.getResponseSender().send(json(refusal).toString());
	}

	static ObjectNode json(Refusal refusal) {
		ObjectNode json = JsonText.object();
		json.put("type", TYPE_PREFIX + refusal.reason().label());
		json.put("title", refusal.reason().label().replace('-', ' '));
		json.put("status", refusal.reason().status());
		json.put("detail", refusal.detail());
		json.put("verdict", refusal.verdict().label());
		refusal.retryAfter().ifPresent((d) -> json.put("retryAfterMillis", d.toMillis()));
		return json;
	}

	private static long seconds(Duration duration) {
		return Math.max(1, (duration.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
	}

}
