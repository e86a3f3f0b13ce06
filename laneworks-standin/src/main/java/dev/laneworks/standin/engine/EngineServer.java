package dev.laneworks.standin.engine;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Deque;

import com.fasterxml.jackson.databind.JsonNode;
import dev.laneworks.runtime.duty.Duty;
import dev.laneworks.runtime.duty.Supervisor;
import dev.laneworks.runtime.http.EventStream;
import dev.laneworks.runtime.http.JsonText;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;

/**
 * HTTP server that runs an {@link EngineModel} in real time behind an OpenAI-compatible
 * interface.
 * <p>
 * {@code POST /v1/completions} and {@code /v1/chat/completions} start a generation named
 * by {@code X-Request-Id} and stream its output. If such a generation exists, its output
 * is streamed from the beginning and it is not executed again. The request member
 * {@code standin_length} sets the length of the output in tokens. Further resources:
 * <ul>
 * <li>{@code GET /v1/generations/NAME?offset=N} streams the output from an offset</li>
 * <li>{@code GET /v1/generations/NAME/state} returns 404 if the generation does not
 * exist</li>
 * <li>{@code DELETE /v1/generations/NAME} cancels a generation</li>
 * <li>{@code POST /v1/generations/NAME/pause} and {@code …/resume} suspend and resume
 * it</li>
 * <li>{@code GET /v1/load} returns a delayed load report</li>
 * <li>{@code GET /v1/cache-events?after=N} returns changes to the prefix cache, delayed
 * and with gaps</li>
 * <li>{@code GET /v1/runs} returns the number of executions of each generation</li>
 * </ul>
 *
 * @since 0.1
 */
public final class EngineServer {

	/** States that a request was not executed. */
	private static final HttpString VERDICT = new HttpString("Laneworks-Verdict");

	private static final int QUEUE_CAPACITY = 8192;

	private static final int CHARS_PER_TOKEN = 4;

	private static final int PREFIX_CHARS = 512;

	private static final int DEFAULT_MAX_TOKENS = 100_000;

	private final Undertow server;

	private final Duty<EngineState> duty;

	private final Supervisor supervisor;

	private final EngineSettings settings;

	/**
	 * Create an engine server.
	 * @param address the address to listen on
	 * @param settings the settings of the engine
	 */
	public EngineServer(InetSocketAddress address, EngineSettings settings) {
		this.settings = settings;
		this.supervisor = new Supervisor("engine", 3, Duration.ofSeconds(10), (ex) -> Runtime.getRuntime().halt(70));
		this.duty = new Duty<>("engine", new EngineState(settings), QUEUE_CAPACITY, Duration.ofMillis(1),
				EngineState::advance);
		this.server = Undertow.builder()
			.setIoThreads(2)
			.setWorkerThreads(4)
			.addHttpListener(address.getPort(), address.getHostString())
			.setHandler(Handlers.routing()
				.post("/v1/completions", (e) -> handleCompletion(e, false))
				.post("/v1/chat/completions", (e) -> handleCompletion(e, true))
				.get("/v1/generations/{name}", this::handleAttach)
				.get("/v1/generations/{name}/state", (e) -> respond(e, (s) -> s.describe(parameter(e, "name", ""))))
				.delete("/v1/generations/{name}", (e) -> respond(e, (s) -> s.cancel(parameter(e, "name", ""))))
				.post("/v1/generations/{name}/pause", (e) -> respond(e, (s) -> s.pause(parameter(e, "name", ""))))
				.post("/v1/generations/{name}/resume", (e) -> respond(e, (s) -> s.resume(parameter(e, "name", ""))))
				.get("/v1/load", (e) -> respond(e, EngineState::load))
				.get("/v1/cache-events",
						(e) -> respond(e, (s) -> s.cacheEvents(Long.parseLong(parameter(e, "after", "0")))))
				.get("/v1/runs", (e) -> respond(e, EngineState::executionCounts)))
			.build();
	}

	/**
	 * Start the engine and accept connections.
	 */
	public void start() {
		this.supervisor.start(this.duty);
		this.server.start();
	}

	/**
	 * Stop the engine and close all connections without waiting for generations to
	 * finish.
	 */
	public void stop() {
		this.server.stop();
		this.supervisor.stop();
	}

	/**
	 * Return the port that the engine listens on.
	 * @return the TCP port, also if the address asked for a free one
	 */
	public int port() {
		return ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
	}

	private void handleCompletion(HttpServerExchange exchange, boolean chat) {
		exchange.getRequestReceiver().receiveFullBytes((e, body) -> {
			JsonNode json;
			try {
				json = JsonText.read(body);
			}
			catch (IOException ex) {
				e.setStatusCode(StatusCodes.BAD_REQUEST);
				e.getResponseHeaders().put(VERDICT, "not-run");
				e.getResponseSender().send("not JSON");
				return;
			}
			String requestId = e.getRequestHeaders().getFirst("X-Request-Id");
			String name = (requestId != null) ? requestId : "anonymous-" + System.nanoTime();
			String priority = e.getRequestHeaders().getFirst("X-Priority");
			EngineRequest request = createRequest(name, (priority != null) ? Integer.parseInt(priority) : 1, json);
			stream(e, name, 0, (s) -> s.submit(request, json.path("model").asText(""), chat));
		});
	}

	private void handleAttach(HttpServerExchange exchange) {
		String name = parameter(exchange, "name", "");
		int offset = Integer.parseInt(parameter(exchange, "offset", "0"));
		exchange.dispatch();
		this.duty.put((s) -> {
			if (!s.hasOutput(name)) {
				exchange.setStatusCode(StatusCodes.NOT_FOUND);
				exchange.getResponseSender().send("{\"error\":\"no such generation\"}");
				return;
			}
			stream(exchange, name, offset, (x) -> true);
		});
	}

	private void stream(HttpServerExchange exchange, String name, int offset, StartAction startAction) {
		exchange.dispatch();
		this.duty.put((s) -> {
			if (!startAction.start(s)) {
				exchange.setStatusCode(StatusCodes.GONE);
				exchange.getResponseSender().send("{\"error\":\"the generation was cancelled\"}");
				return;
			}
			EventStream.open(exchange, (stream) -> this.duty.put((t) -> t.attachReader(name, stream, offset)));
		});
	}

	private void respond(HttpServerExchange exchange, StateQuery query) {
		exchange.dispatch();
		this.duty.put((s) -> {
			Object body = query.run(s);
			if (body == null) {
				exchange.setStatusCode(StatusCodes.NOT_FOUND);
				exchange.getResponseSender().send("{\"error\":\"no such generation\"}");
				return;
			}
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender().send(JsonText.write(body), StandardCharsets.UTF_8);
		});
	}

	private EngineRequest createRequest(String name, int priority, JsonNode json) {
		String prompt = json.has("messages") ? json.path("messages").toString() : json.path("prompt").asText("");
		int promptTokens = Math.max(1, prompt.length() / CHARS_PER_TOKEN);
		String prefix = prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARS));
		int length = json.path("standin_length").asInt(new TokenText(this.settings).length(name));
		int limit = json.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
		return new EngineRequest(name, promptTokens, prefix.hashCode(), prefix.length() / CHARS_PER_TOKEN, priority,
				length, limit);
	}

	private static String parameter(HttpServerExchange exchange, String name, String fallback) {
		Deque<String> values = exchange.getQueryParameters().get(name);
		return (values != null && !values.isEmpty()) ? values.getFirst() : fallback;
	}

	/**
	 * Starts a generation, or returns {@code false} if a generation of its name was
	 * cancelled.
	 */
	@FunctionalInterface
	private interface StartAction {

		boolean start(EngineState state);

	}

	/**
	 * Produces a response body, or {@code null} if there is no such generation.
	 */
	@FunctionalInterface
	private interface StateQuery {

		Object run(EngineState state);

	}

}
