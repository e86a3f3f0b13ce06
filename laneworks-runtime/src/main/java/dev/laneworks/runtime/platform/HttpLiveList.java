package dev.laneworks.runtime.platform;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import dev.laneworks.runtime.http.HttpCall;
import dev.laneworks.runtime.http.HttpCaller;
import dev.laneworks.runtime.http.JsonText;
import dev.laneworks.runtime.http.WholeResponse;
import io.vavr.control.Either;

/**
 * Reads the live list over HTTP: {@code GET /instances?name=NAME} answers
 * {@code [{"name": …, "state": "live"|"leaving"}]}.
 *
 * @since 0.1
 */
public final class HttpLiveList implements LiveList {

	private static final int MAX_BYTES = 1 << 20;

	private static final int OK = 200;

	private final HttpCaller caller;

	private final URI server;

	/**
	 * Create a reader.
	 * @param caller makes the calls
	 * @param server the platform
	 */
	public HttpLiveList(HttpCaller caller, URI server) {
		this.caller = caller;
		this.server = server;
	}

	@Override
	public void read(String name, Consumer<Either<IOException, List<LiveInstance>>> receiver) {
		this.caller.call(HttpCall.of(this.server, "GET", "/instances?name=" + name),
				new WholeResponse(MAX_BYTES, (r) -> receiver.accept(r.flatMap(HttpLiveList::instances))));
	}

	private static Either<IOException, List<LiveInstance>> instances(WholeResponse.Received received) {
		if (received.status() != OK) {
			return Either.left(new IOException("the live list answered " + received.status()));
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
