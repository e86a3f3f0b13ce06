package dev.laneworks.runtime.platform;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import dev.laneworks.core.peer.ConfigurationService;
import dev.laneworks.core.peer.PublishedDocument;
import dev.laneworks.runtime.http.AsyncHttpClient;
import dev.laneworks.runtime.http.HttpRequest;
import dev.laneworks.runtime.http.JsonText;
import dev.laneworks.runtime.http.ResponseCollector;
import dev.laneworks.runtime.http.TimedHttpClient;
import io.vavr.control.Either;
import org.xnio.XnioExecutor;

/**
 * HTTP client of the platform's configuration service.
 * <p>
 * {@code GET /configuration?after=V&wait=S} returns 200 with {@code {"version": …,
 * "document": "…"}} as soon as the service holds a version above {@code V}, or 204 after
 * {@code S} seconds without one.
 *
 * @since 0.1
 */
public final class HttpConfigurationService implements ConfigurationService {

	private static final int MAX_BODY_BYTES = 8 << 20;

	private static final int OK = 200;

	private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(3);

	private final TimedHttpClient client;

	private final URI server;

	private final Duration wait;

	/**
	 * Create a client.
	 * @param client the HTTP client that sends the requests
	 * @param timer the executor for the timeouts of requests
	 * @param server the URI of the service
	 * @param wait the longest time that the service may delay the answer to a watch, in
	 * whole seconds
	 */
	public HttpConfigurationService(AsyncHttpClient client, XnioExecutor timer, URI server, Duration wait) {
		this.client = new TimedHttpClient(client, timer);
		this.server = server;
		this.wait = wait;
	}

	@Override
	public void watch(long afterVersion, Consumer<Either<IOException, PublishedDocument>> receiver) {
		String path = "/configuration?after=" + afterVersion + "&wait=" + this.wait.toSeconds();
		this.client.call(HttpRequest.of(this.server, "GET", path), MAX_BODY_BYTES, this.wait.plus(TIMEOUT_MARGIN),
				(r) -> receiver.accept(r.flatMap(HttpConfigurationService::parseDocument)));
	}

	private static Either<IOException, PublishedDocument> parseDocument(ResponseCollector.Response received) {
		if (received.status() != OK) {
			return Either.left(new IOException("the configuration service returned status " + received.status()));
		}
		try {
			JsonNode json = JsonText.read(received.body());
			return Either.right(new PublishedDocument(json.path("version").asLong(), json.path("document").asText("")));
		}
		catch (IOException ex) {
			return Either.left(ex);
		}
	}

}
