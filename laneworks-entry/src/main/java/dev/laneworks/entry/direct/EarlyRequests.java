package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;

/**
 * The requests that were read before the process could take any.
 * <p>
 * Each is taken on its own: one whose caller left meanwhile, or that can't be taken, does
 * not keep the others waiting, nor the process from becoming ready. Used on the I/O
 * thread alone.
 */
final class EarlyRequests {

	private final List<HttpServerExchange> waiting = new ArrayList<>();

	void add(HttpServerExchange exchange) {
		this.waiting.add(exchange);
	}

	/**
	 * Hand all requests over whose callers are still there.
	 * @param taker takes a request
	 * @param loop runs each handing over as an action of its own
	 */
	void handOver(Consumer<HttpServerExchange> taker, Consumer<Runnable> loop) {
		List<HttpServerExchange> all = List.copyOf(this.waiting);
		this.waiting.clear();
		all.forEach((e) -> loop.accept(() -> {
			if (!e.isComplete()) {
				taker.accept(e);
			}
		}));
	}

}
