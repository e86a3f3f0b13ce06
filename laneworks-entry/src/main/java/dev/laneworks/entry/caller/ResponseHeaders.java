package dev.laneworks.entry.caller;

import dev.laneworks.core.stream.StreamPosition;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;

/**
 * Response headers that identify the request, its generation and the target that executes
 * it.
 */
final class ResponseHeaders {

	static final HttpString REQUEST = new HttpString("Laneworks-Request");

	private static final HttpString TARGET = new HttpString("Laneworks-Target");

	private static final HttpString ROUTE = new HttpString("Laneworks-Route");

	private static final HttpString GENERATION = new HttpString("Laneworks-Generation");

	private ResponseHeaders() {
	}

	static void put(HttpServerExchange exchange, StreamPosition position, String route) {
		exchange.getResponseHeaders().put(TARGET, position.target());
		exchange.getResponseHeaders().put(GENERATION, position.generation());
		exchange.getResponseHeaders().put(ROUTE, route);
	}

}
