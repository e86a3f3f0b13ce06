package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;

/**
 * Requests that were read while the process could not accept them.
 * <p>
 * Each is replayed on its own, so that a failing request delays neither the others nor
 * the readiness of the process. Used on the I/O thread alone.
 */
final class DeferredRequests {

	private final List<HttpServerExchange> waiting = new ArrayList<>();

	void add(HttpServerExchange exchange) {
		this.waiting.add(exchange);
	}

	/**
	 * Replay all requests whose exchange is not complete.
	 * @param handler the handler of each request
	 * @param executor the executor that runs each replay as a separate action
	 */
	void replay(Consumer<HttpServerExchange> handler, Consumer<Runnable> executor) {
		List<HttpServerExchange> all = List.copyOf(this.waiting);
		this.waiting.clear();
		all.forEach((e) -> executor.accept(() -> {
			if (!e.isComplete()) {
				handler.accept(e);
			}
		}));
	}

}
