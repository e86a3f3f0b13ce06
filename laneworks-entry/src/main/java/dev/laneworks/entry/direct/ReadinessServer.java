package dev.laneworks.entry.direct;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import dev.laneworks.runtime.http.IoWorker;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;

/**
 * Readiness check for the platform.
 * <p>
 * Answers with status 200 while the entry accepts requests, 503 while it does not, and
 * 404 on other paths.
 */
final class ReadinessServer {

	private final Undertow server;

	private final Supplier<? extends Collection<String>> paths;

	private final BooleanSupplier ready;

	ReadinessServer(IoWorker io, InetSocketAddress address, Supplier<? extends Collection<String>> paths,
			BooleanSupplier ready) {
		this.paths = paths;
		this.ready = ready;
		this.server = Undertow.builder()
			.setWorker(io.worker())
			.addHttpListener(address.getPort(), address.getHostString())
			.setHandler(this::answer)
			.build();
	}

	void start() {
		this.server.start();
	}

	private void answer(HttpServerExchange exchange) {
		if (!this.paths.get().contains(exchange.getRequestPath())) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND);
		}
		else if (!this.ready.getAsBoolean()) {
			exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
		}
		exchange.endExchange();
	}

}
