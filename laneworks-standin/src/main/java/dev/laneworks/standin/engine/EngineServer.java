package dev.laneworks.standin.engine;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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

	private static final long HOLD_MICROS = TimeUnit.SECONDS.toMicros(60);

	private static final int CHARS_PER_TOKEN = 4;

	private static final int PREFIX_CHARS = 512;

	private static final int DEFAULT_MAX_TOKENS = 100_000;

	private final Undertow server;

	private final Duty<State> duty;

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
		this.duty = new Duty<>("engine", new State(settings), RING, Duration.ofMillis(1), State::run);
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
				.get("/v1/load", (e) -> answer(e, State::load))
				.get("/v1/cache-events",
						(e) -> answer(e, (s) -> s.cacheEvents(Long.parseLong(parameter(e, "after", "0")))))
				.get("/v1/runs", (e) -> answer(e, State::runs)))
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
			stream(e, new Output(name, json.path("model").asText(""), chat), 0,
					(s) -> s.submit(request, json.path("model").asText(""), chat));
		});
	}

	private void attach(HttpServerExchange exchange) {
		String name = parameter(exchange, "name", "");
		int offset = Integer.parseInt(parameter(exchange, "offset", "0"));
		exchange.dispatch();
		this.duty.put((s) -> {
			Output output = s.outputs.get(name);
			if (output == null) {
				exchange.setStatusCode(StatusCodes.NOT_FOUND);
				exchange.getResponseSender().send("{\"error\":\"no such generation\"}");
				return;
			}
			stream(exchange, output, offset, (x) -> true);
		});
	}

	private void stream(HttpServerExchange exchange, Output output, int offset, StartRule rule) {
		exchange.dispatch();
		this.duty.put((s) -> {
			if (!rule.start(s)) {
				exchange.setStatusCode(StatusCodes.GONE);
				exchange.getResponseSender().send("{\"error\":\"the generation was cancelled\"}");
				return;
			}
			EventStream.open(exchange, (stream) -> this.duty.put((t) -> t.read(output.name, stream, offset)));
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

		boolean start(State state);

	}

	/**
	 * Makes an answer, or {@code null} if there is no such generation.
	 */
	@FunctionalInterface
	private interface Answer {

		Object of(State state);

	}

	/**
	 * A load report.
	 */
	private record Load(int running, int waiting, long usedTokens, long capacityTokens, long preemptions) {

	}

	/**
	 * A prefix stored or dropped.
	 */
	private record CacheEvent(long number, long at, long hash, boolean stored) {

	}

	/**
	 * The output of a generation.
	 */
	private static final class Output {

		private final String name;

		private final String model;

		private final boolean chat;

		private final List<String> tokens = new ArrayList<>();

		private final Map<EventStream, Integer> readers = new HashMap<>();

		private String finishReason;

		private long endedAt;

		Output(String name, String model, boolean chat) {
			this.name = name;
			this.model = model;
			this.chat = chat;
		}

		void pump(EventStream stream) {
			int offset = this.readers.get(stream);
			while (offset < this.tokens.size()) {
				stream.send(chunk(offset, this.tokens.get(offset), null));
				offset++;
			}
			this.readers.put(stream, offset);
			if (this.finishReason != null) {
				stream.send(chunk(offset, "", this.finishReason));
				stream.send("[DONE]");
				stream.end();
				this.readers.remove(stream);
			}
		}

		private String chunk(int offset, String text, String finish) {
			ObjectNode json = JsonText.object();
			json.put("id", this.name);
			json.put("object", this.chat ? "chat.completion.chunk" : "text_completion");
			json.put("model", this.model);
			json.put("offset", offset);
			ObjectNode choice = json.putArray("choices").addObject();
			choice.put("index", 0);
			if (this.chat) {
				choice.putObject("delta").put("content", text);
			}
			else {
				choice.put("text", text);
			}
			choice.put("finish_reason", finish);
			return json.toString();
		}

	}

	/**
	 * What the engine's one thread owns.
	 */
	private static final class State implements EngineListener {

		private final EngineSettings settings;

		private final TokenText text;

		private final EngineModel model;

		private final Map<String, Output> outputs = new HashMap<>();

		private final Set<String> cancelled = new HashSet<>();

		private final Map<String, Integer> runs = new HashMap<>();

		private final Deque<CacheEvent> cacheEvents = new ArrayDeque<>();

		private final Random losses;

		private long cacheEventCount;

		private Load reported = new Load(0, 0, 0, 0, 0);

		private Load pending = new Load(0, 0, 0, 0, 0);

		private long reportedAt;

		State(EngineSettings settings) {
			this.settings = settings;
			this.text = new TokenText(settings);
			this.losses = new Random(settings.seed());
			this.model = new EngineModel(settings, new PrefixCache(settings.prefixCacheTokens(), this::cacheChanged),
					this);
		}

		void run() {
			long now = now();
			while (this.model.stepEndsAt().filter((t) -> t <= now).isPresent()) {
				this.model.step();
			}
			if (now - this.reportedAt >= TimeUnit.MILLISECONDS.toMicros(this.settings.reportLagMillis())) {
				this.reportedAt = now;
				this.reported = this.pending;
				this.pending = new Load(this.model.runningCount(), this.model.waitingCount(), this.model.usedTokens(),
						this.settings.capacityTokens(), this.model.preemptions());
				this.outputs.values().removeIf((o) -> o.finishReason != null && now - o.endedAt > HOLD_MICROS);
			}
		}

		boolean submit(EngineRequest request, String modelName, boolean chat) {
			if (this.cancelled.contains(request.name())) {
				return false;
			}
			if (!this.outputs.containsKey(request.name())) {
				this.runs.merge(request.name(), 1, Integer::sum);
				this.outputs.put(request.name(), new Output(request.name(), modelName, chat));
				this.model.submit(request, now());
			}
			return true;
		}

		void read(String name, EventStream stream, int offset) {
			Output output = this.outputs.get(name);
			if (output == null) {
				stream.end();
				return;
			}
			output.readers.put(stream, offset);
			output.pump(stream);
		}

		Object state(String name) {
			return this.outputs.containsKey(name) ? Map.of("name", name) : null;
		}

		Object cancel(String name) {
			this.cancelled.add(name);
			this.model.cancel(name);
			Output output = this.outputs.remove(name);
			if (output == null) {
				return null;
			}
			output.readers.keySet().forEach(EventStream::end);
			return Map.of("cancelled", name);
		}

		Object pause(String name) {
			return this.model.pause(name) ? Map.of("paused", name) : null;
		}

		Object resume(String name) {
			return this.model.resume(name, now()) ? Map.of("resumed", name) : null;
		}

		Object load() {
			return this.reported;
		}

		// The names of all generations ever run and how often, for checks.
		Object runs() {
			return this.runs;
		}

		Object cacheEvents(long after) {
			long visible = now() - TimeUnit.MILLISECONDS.toMicros(this.settings.eventLagMillis());
			return this.cacheEvents.stream().filter((e) -> e.number() > after && e.at() <= visible).toList();
		}

		@Override
		public void onToken(String name, int offset, long atMicros) {
			Output output = this.outputs.get(name);
			if (output != null) {
				output.tokens.add(this.text.token(name, offset));
				each(output.readers, output::pump);
			}
		}

		@Override
		public void onEnd(String name, int total, boolean byLimit, long atMicros) {
			Output output = this.outputs.get(name);
			if (output != null) {
				output.finishReason = byLimit ? "length" : "stop";
				output.endedAt = atMicros;
				each(output.readers, output::pump);
			}
		}

		@Override
		public void onPreempted(String name, long atMicros) {
			// Counted by the model.
		}

		private void cacheChanged(long hash, boolean stored) {
			this.cacheEventCount++;
			if (this.losses.nextDouble() < this.settings.eventLossShare()) {
				return;
			}
			this.cacheEvents.addLast(new CacheEvent(this.cacheEventCount, now(), hash, stored));
			if (this.cacheEvents.size() > RING) {
				this.cacheEvents.removeFirst();
			}
		}

		private static void each(Map<EventStream, Integer> readers, Consumer<EventStream> action) {
			List.copyOf(readers.keySet()).forEach(action);
		}

		private static long now() {
			return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
		}

	}

}
