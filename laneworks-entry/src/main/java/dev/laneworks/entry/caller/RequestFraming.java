package dev.laneworks.entry.caller;

import dev.laneworks.runtime.http.ContentLength;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;

/**
 * Checks of the headers that delimit and address a request, which Undertow does not make.
 * <p>
 * A request that fails them may be read with another length than the one that its sender
 * meant. Its connection must be closed after the response.
 *
 * @since 0.5
 */
public final class RequestFraming {

	private RequestFraming() {
	}

	/**
	 * Determine whether the body length is declared in exactly one way, which prevents
	 * request smuggling.
	 * @param exchange the exchange whose request head has been received
	 * @return {@code false} if the request must be refused
	 */
	public static boolean hasUnambiguousLength(HttpServerExchange exchange) {
		HeaderMap headers = exchange.getRequestHeaders();
		HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
		HeaderValues transferEncodings = headers.get(Headers.TRANSFER_ENCODING);
		if (transferEncodings != null && (lengths != null || transferEncodings.size() > 1
				|| !transferEncodings.getFirst().equalsIgnoreCase("chunked"))) {
			return false;
		}
		return lengths == null || (lengths.size() == 1 && ContentLength.parse(lengths.getFirst()).isPresent());
	}

	/**
	 * Determine whether the request names exactly one host, which routes it.
	 * @param exchange the exchange whose request head has been received
	 * @return {@code false} if the request must be refused;
	 * HttpServerExchange.getHostName fails for such a request or returns one of several
	 * hosts
	 */
	public static boolean hasOneHost(HttpServerExchange exchange) {
		HeaderValues hosts = exchange.getRequestHeaders().get(Headers.HOST);
		if (hosts == null) {
			return true;
		}
		String host = hosts.getFirst();
		return hosts.size() == 1 && (!host.startsWith("[") || host.indexOf(']') > 1);
	}

	/**
	 * Refuse invalid chunk sizes while a body is read. To be called before the body is
	 * read; reading fails with an {@link java.io.IOException}.
	 * @param exchange the exchange whose request head has been received
	 */
	public static void validateChunks(HttpServerExchange exchange) {
		ChunkSizeValidator.install(exchange);
	}

}
