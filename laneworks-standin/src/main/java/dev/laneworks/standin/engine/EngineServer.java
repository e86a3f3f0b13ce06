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
import io.undertow.util.StatusCodes;

/**
 * Serves an {@link EngineModel} over the usual HTTP interface of engines, in real time.
 * <p>
 * {@code POST /v1/completions} and {@code /v1/chat/completions} start a generation named
 * by {@code X-Request-Id} and stream it; a name that is held already is streamed from its
 * beginning, never run again. {@code GET /v1/generations/NAME?offset=N} streams the rest,
 * {@code GET …/state} tells whether it is held, {@code DELETE} cancels,
 * {@code POST …/pause} and {@code …/resume} set aside and go on. {@code GET /v1/load}
 * reports load with a lag, {@code GET /v1/cache-events?after=N} tells of cached prefixes
 * late and with gaps. The request member {@code standin_length} sets the length of an
 * output.
 *
 * @since 0.1
 */
public final class EngineServer {

	private static final int RING = 8192;

	private static final int CHARS_PER_TOKEN = 4;

	private static final int PREFIX_CHARS = 512;

	private static final int DEFAULT_MAX_TOKENS = 100_000;

	private final Undertow server;

	private final Duty<EngineState> duty;

	private final Supervisor supervisor;

	private final EngineSettings settings;

	/**
	 * Create an engine.
	 * @param address where to listen
	 * @param settings how it behaves
	 */
	public EngineServer(InetSocketAddress address, EngineSettings settings) {
		this.settings = settings;
		this.supervisor = new Supervisor("engine", 3, Duration.ofSeconds(10), (ex) -> Runtime.getRuntime().halt(70));
		this.duty = new Duty<>("engine", new EngineState(settings), RING, Duration.ofMillis(1), EngineState::run);
		this.server = Undertow.builder()
			.setIoThreads(2)
			.setWorkerThreads(4)
			.addHttpListener(address.getPort(), address.getHostString())
			.setHandler(Handlers.routing()
				.post("/v1/completions", (e) -> start(e, false))
				.post("/v1/chat/completions", (e) -> start(e, true))
				.get("/v1/generations/{name}", this::attach)
				.get("/v1/generations/{name}/state", (e) -> answer(e, (s) -> s.state(parameter(e, "name", ""))))
				.delete("/v1/generations/{name}", (e) -> answer(e, (s) -> s.cancel(parameter(e, "name", ""))))
				.post("/v1/generations/{name}/pause", (e) -> answer(e, (s) -> s.pause(parameter(e, "name", ""))))
				.post("/v1/generations/{name}/resume", (e) -> answer(e, (s) -> s.resume(parameter(e, "name", ""))))
				.get("/v1/load", (e) -> answer(e, EngineState::load))
				.get("/v1/cache-events",
						(e) -> answer(e, (s) -> s.cacheEvents(Long.parseLong(parameter(e, "after", "0")))))
				.get("/v1/runs", (e) -> answer(e, EngineState::runs)))
			.build();
	}

	/**
	 * Start to serve.
	 */
	public void start() {
		this.supervisor.start(this.duty);
		this.server.start();
	}

	/**
	 * End serving at once.
	 */
	public void stop() {
		this.server.stop();
		this.supervisor.stop();
	}

	/**
	 * Return the port that the engine listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
	}

	private void start(HttpServerExchange exchange, boolean chat) {
		exchange.getRequestReceiver().receiveFullBytes((e, body) -> {
			JsonNode json;
			try {
				json = JsonText.read(body);
			}
			catch (IOException ex) {
				e.setStatusCode(StatusCodes.BAD_REQUEST);
				e.getResponseSender().send("not JSON");
				return;
			}
			String given = e.getRequestHeaders().getFirst("X-Request-Id");
			String name = (given != null) ? given : "anonymous-" + System.nanoTime();
			String priority = e.getRequestHeaders().getFirst("X-Priority");
			EngineRequest request = request(name, (priority != null) ? Integer.parseInt(priority) : 1, json);
			stream(e, name, 0, (s) -> s.submit(request, json.path("model").asText(""), chat));
		});
	}

	private void attach(HttpServerExchange exchange) {
		String name = parameter(exchange, "name", "");
		int offset = Integer.parseInt(parameter(exchange, "offset", "0"));
		exchange.dispatch();
		this.duty.put((s) -> {
			if (!s.holds(name)) {
				exchange.setStatusCode(StatusCodes.NOT_FOUND);
				exchange.getResponseSender().send("{\"error\":\"no such generation\"}");
				return;
			}
			stream(exchange, name, offset, (x) -> true);
		});
	}

	private void stream(HttpServerExchange exchange, String name, int offset, StartRule rule) {
		exchange.dispatch();
		this.duty.put((s) -> {
			if (!rule.start(s)) {
				exchange.setStatusCode(StatusCodes.GONE);
				exchange.getResponseSender().send("{\"error\":\"the generation was cancelled\"}");
				return;
			}
			EventStream.open(exchange, (stream) -> this.duty.put((t) -> t.read(name, stream, offset)));
		});
	}

	private void answer(HttpServerExchange exchange, Answer answer) {
		exchange.dispatch();
		this.duty.put((s) -> {
			Object body = answer.of(s);
			if (body == null) {
				exchange.setStatusCode(StatusCodes.NOT_FOUND);
				exchange.getResponseSender().send("{\"error\":\"no such generation\"}");
				return;
			}
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender().send(JsonText.write(body), StandardCharsets.UTF_8);
		});
	}

	private EngineRequest request(String name, int priority, JsonNode json) {
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
	 * Starts a generation unless its name may not run any more.
	 */
	@FunctionalInterface
	private interface StartRule {

		boolean start(EngineState state);

	}

	/**
	 * Makes an answer, or {@code null} if there is no such generation.
	 */
	@FunctionalInterface
	private interface Answer {

		Object of(EngineState state);

	}

}
