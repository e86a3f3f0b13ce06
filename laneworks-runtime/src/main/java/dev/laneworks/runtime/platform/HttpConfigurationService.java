package dev.laneworks.runtime.platform;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import dev.laneworks.core.peer.ConfigurationService;
import dev.laneworks.core.peer.PublishedDocument;
import dev.laneworks.runtime.http.HttpCall;
import dev.laneworks.runtime.http.HttpCaller;
import dev.laneworks.runtime.http.HttpExchange;
import dev.laneworks.runtime.http.JsonText;
import dev.laneworks.runtime.http.WholeResponse;
import io.vavr.control.Either;
import org.xnio.XnioExecutor;

/**
 * Reads the configuration service over HTTP.
 * <p>
 * {@code GET /configuration?after=V&wait=S} answers 200 with {@code {"version": …,
 * "document": "…"}} as soon as the service holds a version above {@code V}, or 204 after
 * {@code S} seconds without one.
 *
 * @since 0.1
 */
public final class HttpConfigurationService implements ConfigurationService {

	private static final int MAX_BYTES = 8 << 20;

	private static final int OK = 200;

	private static final Duration SLACK = Duration.ofSeconds(3);

	private final HttpCaller caller;

	private final XnioExecutor timer;

	private final URI server;

	private final Duration wait;

	/**
	 * Create a reader.
	 * @param caller makes the calls
	 * @param timer ends calls that are not answered
	 * @param server the service
	 * @param wait how long the service may hold a watch, in whole seconds
	 */
	public HttpConfigurationService(HttpCaller caller, XnioExecutor timer, URI server, Duration wait) {
		this.caller = caller;
		this.timer = timer;
		this.server = server;
		this.wait = wait;
	}

	@Override
	public void watch(long afterVersion, Consumer<Either<IOException, PublishedDocument>> receiver) {
		String path = "/configuration?after=" + afterVersion + "&wait=" + this.wait.toSeconds();
		CallOnce once = new CallOnce(receiver);
		HttpExchange exchange = this.caller.call(HttpCall.of(this.server, "GET", path),
				new WholeResponse(MAX_BYTES, (r) -> once.accept(r.flatMap(HttpConfigurationService::document))));
		this.timer.executeAfter(() -> {
			exchange.abandon();
			once.accept(Either.left(new IOException("the configuration service did not answer in time")));
		}, this.wait.plus(SLACK).toMillis(), TimeUnit.MILLISECONDS);
	}

	private static Either<IOException, PublishedDocument> document(WholeResponse.Received received) {
		if (received.status() != OK) {
			return Either.left(new IOException("the configuration service answered " + received.status()));
		}
		try {
			JsonNode json = JsonText.read(received.body());
			return Either.right(new PublishedDocument(json.path("version").asLong(), json.path("document").asText("")));
		}
		catch (IOException ex) {
			return Either.left(ex);
		}
	}

	/**
	 * Passes on the first of several answers.
	 */
	private static final class CallOnce implements Consumer<Either<IOException, PublishedDocument>> {

		private Consumer<Either<IOException, PublishedDocument>> receiver;

		CallOnce(Consumer<Either<IOException, PublishedDocument>> receiver) {
			this.receiver = receiver;
		}

		@Override
		public void accept(Either<IOException, PublishedDocument> answer) {
			Consumer<Either<IOException, PublishedDocument>> first = take();
			if (first != null) {
				first.accept(answer);
			}
		}

		private synchronized Consumer<Either<IOException, PublishedDocument>> take() {
			Consumer<Either<IOException, PublishedDocument>> first = this.receiver;
			this.receiver = null;
			return first;
		}

	}

}
