package dev.laneworks.runtime.platform;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import dev.laneworks.runtime.http.AsyncHttpClient;
import dev.laneworks.runtime.http.HttpRequest;
import dev.laneworks.runtime.http.JsonText;
import dev.laneworks.runtime.http.ResponseCollector;
import io.vavr.control.Either;

/**
 * HTTP client of the platform's live list: {@code GET /instances?name=NAME} returns
 * {@code [{"name": …, "state": "live"|"leaving"}]}.
 *
 * @since 0.1
 */
public final class HttpLiveList implements LiveList {

	private static final int MAX_BODY_BYTES = 1 << 20;

	private static final int OK = 200;

	private final AsyncHttpClient client;

	private final URI server;

	/**
	 * Create a client.
	 * @param client the HTTP client that sends the requests
	 * @param server the URI of the platform
	 */
	public HttpLiveList(AsyncHttpClient client, URI server) {
		this.client = client;
		this.server = server;
	}

	@Override
	public void read(String name, Consumer<Either<IOException, List<LiveInstance>>> receiver) {
		this.client.send(HttpRequest.of(this.server, "GET", "/instances?name=" + name),
				new ResponseCollector(MAX_BODY_BYTES, (r) -> receiver.accept(r.flatMap(HttpLiveList::parseInstances))));
	}

	private static Either<IOException, List<LiveInstance>> parseInstances(ResponseCollector.Response received) {
		if (received.status() != OK) {
			return Either.left(new IOException("the live list returned status " + received.status()));
		}
		try {
			List<LiveInstance> instances = new ArrayList<>();
			for (JsonNode node : JsonText.read(received.body())) {
				boolean leaving = "leaving".equals(node.path("state").asText());
				instances.add(new LiveInstance(node.path("name").asText(), leaving));
			}
			return Either.right(instances);
		}
		catch (IOException ex) {
			return Either.left(ex);
		}
	}

}
