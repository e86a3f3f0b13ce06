package dev.laneworks.sidecar.target;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import dev.laneworks.core.host.TargetLoss;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.OperationKind;
import dev.laneworks.core.message.ServiceReply;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.verdict.AnswerMeaning;
import dev.laneworks.runtime.http.AsyncHttpClient;
import dev.laneworks.runtime.http.HttpExchange;
import dev.laneworks.runtime.http.HttpHeader;
import dev.laneworks.runtime.http.HttpRequest;
import dev.laneworks.runtime.http.ResponseCollector;
import io.vavr.control.Either;
import org.tinylog.Logger;

/**
 * Target client for an engine or a plain service that is called over HTTP.
 * <p>
 * A generation has at most one stream at a time: reattaching closes the previous stream.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class HttpTargetClient implements TargetClient {

	private static final int MAX_SERVICE_BODY = 4 << 20;

	private static final int OK = 200;

	private static final byte[] NO_BODY = new byte[0];

	private static final String GENERATIONS = "/v1/generations/";

	private final AsyncHttpClient client;

	private final URI server;

	private final TargetEvents events;

	private final ConcurrentMap<String, HttpExchange> streams = new ConcurrentHashMap<>();

	/**
	 * Create a client of one target.
	 * @param client sends the requests
	 * @param server the base URI of the target
	 * @param events receives the events of all generations
	 */
	public HttpTargetClient(AsyncHttpClient client, URI server, TargetEvents events) {
		this.client = client;
		this.server = server;
		this.events = new StreamRemovingEvents(events);
	}

	@Override
	public void start(String generation, SidecarRequest request) {
		if (request.kind() == OperationKind.SERVICE) {
			startService(generation, request);
			return;
		}
		List<HttpHeader> headers = List.of(new HttpHeader("Content-Type", "application/json"),
				new HttpHeader("X-Request-Id", generation),
				new HttpHeader("X-Priority", String.valueOf(request.priority())));
		HttpRequest call = new HttpRequest(this.server, request.method(), request.path(), headers, request.body());
		stream(generation, call, 0);
	}

	@Override
	public void reattach(String generation, long offset) {
		String path = GENERATIONS + generation + "?offset=" + offset;
		stream(generation, HttpRequest.of(this.server, "GET", path), offset);
	}

	@Override
	public void cancel(String generation) {
		HttpExchange stream = this.streams.remove(generation);
		if (stream != null) {
			stream.cancel();
		}
		control("DELETE", GENERATIONS + generation);
	}

	@Override
	public void pause(String generation) {
		control("POST", GENERATIONS + generation + "/pause");
	}

	@Override
	public void resume(String generation) {
		control("POST", GENERATIONS + generation + "/resume");
	}

	@Override
	public void lookUp(String generation) {
		HttpRequest request = HttpRequest.of(this.server, "GET", GENERATIONS + generation + "/state");
		this.client.send(request, new ResponseCollector(MAX_SERVICE_BODY,
				(r) -> this.events.onLookUp(generation, r.isRight() && r.get().status() == OK)));
	}

	private void stream(String generation, HttpRequest request, long offset) {
		HttpExchange exchange = this.client.send(request, new EngineStream(generation, offset, this.events));
		HttpExchange previous = this.streams.put(generation, exchange);
		if (previous != null) {
			previous.cancel();
		}
	}

	private void startService(String generation, SidecarRequest request) {
		List<HttpHeader> headers = (request.body().length > 0)
				? List.of(new HttpHeader("Content-Type", "application/octet-stream"),
						new HttpHeader("X-Request-Id", generation))
				: List.of(new HttpHeader("X-Request-Id", generation));
		HttpRequest call = new HttpRequest(this.server, request.method(), request.path(), headers, request.body());
		ServiceAnswer answer = new ServiceAnswer(generation, request.repeatable());
		this.client.send(call, answer);
	}

	private void control(String method, String path) {
		this.client.send(new HttpRequest(this.server, method, path, List.of(), NO_BODY),
				new ResponseCollector(MAX_SERVICE_BODY, (r) -> {
				}));
	}

	/**
	 * Buffers the response of a plain service.
	 */
	private final class ServiceAnswer extends ForwardingResponse {

		private final String generation;

		private final boolean repeatable;

		ServiceAnswer(String generation, boolean repeatable) {
			this.generation = generation;
			this.repeatable = repeatable;
		}

		@Override
		void onWhole(Either<IOException, ResponseCollector.Response> received, boolean sent) {
			if (received.isLeft()) {
				Logger.info("answer of the service broke: generation={}: {}", this.generation,
						received.getLeft().getMessage());
				HttpTargetClient.this.events.onLost(this.generation, sent ? TargetLoss.UNKNOWN : TargetLoss.NOT_SENT);
				return;
			}
			ResponseCollector.Response response = received.get();
			AnswerMeaning meaning = TargetStatement.meaning(response.head());
			if (!meaning.isDeliverable(this.repeatable)) {
				Logger.info("answer of the service is not passed on: generation={} status={} meaning={}",
						this.generation, response.status(), meaning);
				HttpTargetClient.this.events.onLost(this.generation,
						(meaning == AnswerMeaning.NOT_RUN) ? TargetLoss.REFUSED : TargetLoss.UNKNOWN);
				return;
			}
			byte[] reply = new ServiceReply(response.status(), response.contentType(), response.body()).encode();
			HttpTargetClient.this.events.onChunk(this.generation, 0, reply);
			HttpTargetClient.this.events.onEnd(this.generation, 1, FinishReason.STOP);
		}

	}

	/**
	 * Removes the stream of a generation when it ends.
	 */
	private final class StreamRemovingEvents implements TargetEvents {

		private final TargetEvents next;

		StreamRemovingEvents(TargetEvents next) {
			this.next = next;
		}

		@Override
		public void onChunk(String generation, long offset, byte[] data) {
			this.next.onChunk(generation, offset, data);
		}

		@Override
		public void onEnd(String generation, long total, FinishReason reason) {
			HttpTargetClient.this.streams.remove(generation);
			this.next.onEnd(generation, total, reason);
		}

		@Override
		public void onLost(String generation, TargetLoss loss) {
			HttpTargetClient.this.streams.remove(generation);
			this.next.onLost(generation, loss);
		}

		@Override
		public void onLookUp(String generation, boolean found) {
			this.next.onLookUp(generation, found);
		}

	}

}
