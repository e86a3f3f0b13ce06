package dev.laneworks.runtime.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.xnio.XnioExecutor;

/**
 * HTTP client that limits the duration of each call.
 * <p>
 * Each receiver is called once. The server may still execute a call that timed out.
 * Thread-safe.
 *
 * @since 0.2
 */
public final class TimedHttpClient {

	private final AsyncHttpClient client;

	private final XnioExecutor timer;

	/**
	 * Create a client.
	 * @param client the HTTP client that sends the requests
	 * @param timer the executor for the timeouts
	 */
	public TimedHttpClient(AsyncHttpClient client, XnioExecutor timer) {
		this.client = client;
		this.timer = timer;
	}

	/**
	 * Send a request.
	 * @param request the request
	 * @param maxBytes the maximum size of the response body, in bytes
	 * @param timeout the timeout for the complete response
	 * @param receiver receives the complete response or the reason of the failure
	 */
	public void call(HttpRequest request, int maxBytes, Duration timeout,
			Consumer<Either<IOException, ResponseCollector.Response>> receiver) {
		AtomicBoolean finished = new AtomicBoolean();
		CompletableFuture<HttpExchange> started = new CompletableFuture<>();
		HttpExchange exchange = this.client.send(request, new ResponseCollector(maxBytes, (r) -> {
			if (finished.compareAndSet(false, true)) {
				receiver.accept(r);
			}
			// The rest of a response that is too large may have no end.
			r.peekLeft((e) -> started.thenAccept(HttpExchange::cancel));
		}));
		started.complete(exchange);
		this.timer.executeAfter(() -> {
			if (finished.compareAndSet(false, true)) {
				exchange.cancel();
				receiver.accept(Either
					.left(new IOException(request.server() + " did not answer within " + timeout.toMillis() + " ms")));
			}
		}, timeout.toMillis(), TimeUnit.MILLISECONDS);
	}

}
