package dev.laneworks.entry.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import dev.laneworks.core.call.CallRequest;
import dev.laneworks.core.configuration.AccountDescription;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.message.OperationKind;
import dev.laneworks.core.stream.RequestTicket;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.stream.TokenSigner;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.runtime.http.IoWorker;
import dev.laneworks.runtime.http.JsonText;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import io.vavr.control.Either;
import org.xnio.Options;

/**
 * HTTP server for callers.
 * <ul>
 * <li>{@code POST /v1/completions} and {@code POST /v1/chat/completions} generate output,
 * streamed or whole.</li>
 * <li>{@code GET /v1/streams} with {@code Last-Event-ID} resumes a stream.</li>
 * <li>{@code POST /v1/tickets} creates a ticket for a request that must run at most
 * once.</li>
 * <li>{@code GET /v1/models} lists the models of the account.</li>
 * <li>{@code /services/NAME/…} calls a plain service.</li>
 * <li>{@code /livez} and {@code /readyz} are the health checks.</li>
 * </ul>
 * A generation request with {@code Last-Event-ID} resumes its stream too, since clients
 * of server-sent events reconnect with the original request.
 *
 * @since 0.1
 */
public final class CallerServer {

	private static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-ID");

	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	private static final String SERVICES_PREFIX = "/services/";

	private final CallerSettings settings;

	private final CallPort calls;

	private final byte[] secret;

	private final CallLatencyMetrics times;

	private final BooleanSupplier ready;

	private final RequestReader reader;

	private final AtomicInteger openResponses = new AtomicInteger();

	private final Undertow server;

	/**
	 * Create a server that {@link #start()} starts.
	 * @param io the I/O threads
	 * @param settings the limits of connections and requests
	 * @param calls routes the calls
	 * @param secret the key shared by all entries that seals tickets and stream positions
	 * @param times the latency histograms
	 * @param ready whether the readiness check succeeds
	 */
	public CallerServer(IoWorker io, CallerSettings settings, CallPort calls, byte[] secret, CallLatencyMetrics times,
			BooleanSupplier ready) {
		this.settings = settings;
		this.calls = calls;
		this.secret = secret.clone();
		this.times = times;
		this.ready = ready;
		this.reader = new RequestReader(secret, settings.callerTimeout());
		this.server = Undertow.builder()
			.setWorker(io.worker())
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, settings.maxHeaderBytes())
			.setServerOption(UndertowOptions.MAX_HEADERS, settings.maxHeaders())
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) settings.requestTimeout().toMillis())
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, (int) settings.idleTimeout().toMillis())
			.setSocketOption(Options.CONNECTION_HIGH_WATER, settings.maxConnections())
			.setSocketOption(Options.CONNECTION_LOW_WATER, settings.maxConnections())
			.addHttpListener(settings.address().getPort(), settings.address().getHostString())
			.setHandler(routes())
			.build();
	}

	/**
	 * Start to accept connections.
	 */
	public void start() {
		this.server.start();
	}

	/**
	 * Close the listener and all connections.
	 */
	public void stop() {
		this.server.stop();
	}

	/**
	 * Return the number of responses that are not yet completely written.
	 * @return the number of open responses
	 */
	public int openResponses() {
		return this.openResponses.get();
	}

	private HttpHandler routes() {
		return Handlers.path()
			.addExactPath("/livez", (e) -> e.getResponseSender().send("live\n"))
			.addExactPath("/readyz", this::readyz)
			.addExactPath("/v1/completions", allowOnly("POST", (e) -> generation(e, OperationKind.COMPLETION)))
			.addExactPath("/v1/chat/completions", allowOnly("POST", (e) -> generation(e, OperationKind.CHAT)))
			.addExactPath("/v1/streams", allowOnly("GET", this::resumeStream))
			.addExactPath("/v1/tickets", allowOnly("POST", this::ticket))
			.addExactPath("/v1/models", allowOnly("GET", this::models))
			.addPrefixPath(SERVICES_PREFIX, this::service)
			.addPrefixPath("/", (e) -> ProblemResponse.send(e, notFound()));
	}

	private void readyz(HttpServerExchange exchange) {
		boolean isReady = this.ready.getAsBoolean();
		exchange.setStatusCode(isReady ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
		exchange.getResponseSender().send(isReady ? "ready\n" : "not ready\n");
	}

	private void generation(HttpServerExchange exchange, OperationKind kind) {
		if (exchange.getRequestHeaders().contains(LAST_EVENT_ID)) {
			resumeStream(exchange);
			return;
		}
		withAccount(exchange, (c, a) -> withBody(exchange, (body) -> {
			var request = this.reader.generation(exchange, body, kind, a, c);
			if (request.isLeft()) {
				ProblemResponse.send(exchange, request.getLeft());
				return;
			}
			open(exchange, request.get());
		}));
	}

	private void open(HttpServerExchange exchange, RequestReader.GenerationRequest generation) {
		CallRequest request = generation.request();
		String id = request.work().requestId();
		exchange.getResponseHeaders().put(ResponseHeaders.REQUEST, id);
		CompletionJson json = new CompletionJson(request.work().kind(), id, request.work().model(),
				System.currentTimeMillis() / 1000);
		long call = this.calls.nextCallNumber();
		CallerResponse response = generation.stream() ? createStreamedResponse(exchange, json, call)
				: new BufferedResponse(exchange, json, request.work().promptTokens(), this.times.start(),
						(o) -> this.calls.recordConsumed(call, o));
		openTracked(exchange, call, () -> this.calls.open(call, request, response));
	}

	private void resumeStream(HttpServerExchange exchange) {
		withAccount(exchange, (c, a) -> {
			String id = exchange.getRequestHeaders().getFirst(LAST_EVENT_ID);
			Optional<StreamPosition> position = (id != null) ? new TokenSigner(this.secret).verifyPosition(id)
					: Optional.empty();
			if (position.isEmpty() || !position.get().account().equals(a.name())) {
				ProblemResponse.send(exchange, Refusal.permanent(RefusalReason.BAD_REQUEST,
						"the Last-Event-ID header must be the id of an event that this account received"));
				return;
			}
			CallRequest request = RequestReader.resumedRequest(a.name());
			OperationKind kind = exchange.getRequestPath().contains("chat") ? OperationKind.CHAT
					: OperationKind.COMPLETION;
			CompletionJson json = new CompletionJson(kind, position.get().generation(), "",
					System.currentTimeMillis() / 1000);
			long call = this.calls.nextCallNumber();
			exchange.dispatch();
			CallerResponse response = createStreamedResponse(exchange, json, call);
			openTracked(exchange, call, () -> this.calls.resume(call, request, position.get(), response));
		});
	}

	private void service(HttpServerExchange exchange) {
		String relativePath = exchange.getRelativePath();
		String nameAndPath = relativePath.startsWith("/") ? relativePath.substring(1) : relativePath;
		int slash = nameAndPath.indexOf('/');
		String name = (slash >= 0) ? nameAndPath.substring(0, slash) : nameAndPath;
		String path = (slash >= 0) ? nameAndPath.substring(slash) : "/";
		withAccount(exchange, (c, a) -> withBody(exchange, (body) -> {
			Either<Refusal, CallRequest> request = this.reader.service(exchange, body, name, path, a, c);
			if (request.isLeft()) {
				ProblemResponse.send(exchange, request.getLeft());
				return;
			}
			exchange.getResponseHeaders().put(ResponseHeaders.REQUEST, request.get().work().requestId());
			long call = this.calls.nextCallNumber();
			openTracked(exchange, call, () -> this.calls.open(call, request.get(), new ServiceResponse(exchange)));
		}));
	}

	private void ticket(HttpServerExchange exchange) {
		withAccount(exchange, (c, a) -> withBody(exchange, (body) -> {
			String model = readModel(body);
			if (c.intent(a.name(), model).isEmpty()) {
				ProblemResponse.send(exchange, Refusal.permanent(RefusalReason.UNKNOWN_MODEL,
						"the account may use no model or service named '" + model + "'"));
				return;
			}
			Optional<RequestTicket> ticket = this.calls.createTicket(a.name(), model);
			if (ticket.isEmpty()) {
				ProblemResponse.send(exchange, Refusal.notRun(RefusalReason.NO_TARGET,
						"no target is available as the home of a ticket", RETRY_DELAY));
				return;
			}
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender()
				.send(JsonText.object()
					.put("ticket", new TokenSigner(this.secret).signTicket(ticket.get()))
					.toString());
		}));
	}

	private void models(HttpServerExchange exchange) {
		withAccount(exchange, (c, a) -> {
			var json = JsonText.object().put("object", "list");
			var data = json.putArray("data");
			c.models()
				.stream()
				.filter((m) -> c.service(m).isEmpty() && c.intent(a.name(), m).isPresent())
				.forEach((m) -> data.addObject().put("id", m).put("object", "model").put("owned_by", "laneworks"));
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender().send(json.toString());
		});
	}

	private StreamedResponse createStreamedResponse(HttpServerExchange exchange, CompletionJson json, long call) {
		return new StreamedResponse(exchange, json, new TokenSigner(this.secret), this.times.start(),
				this.settings.stalledTimeout(), (o) -> this.calls.recordConsumed(call, o),
				() -> this.calls.recordDisconnect(call));
	}

	// Opens a call unless its caller has disconnected; requests wait unread while the
	// process is paused.
	private void openTracked(HttpServerExchange exchange, long call, BooleanSupplier opener) {
		CallerConnection connection = new CallerConnection(exchange);
		if (connection.isClosed()) {
			return;
		}
		trackResponse(exchange, connection, call);
		if (!opener.getAsBoolean()) {
			ProblemResponse.send(exchange, Refusal.notRun(RefusalReason.OVERLOADED,
					"this entry has reached its limit of open calls", RETRY_DELAY));
		}
	}

	private void trackResponse(HttpServerExchange exchange, CallerConnection connection, long call) {
		connection.watch(() -> this.calls.recordDisconnect(call));
		AtomicBoolean open = new AtomicBoolean(true);
		this.openResponses.incrementAndGet();
		exchange.addExchangeCompleteListener((e, next) -> {
			onResponseClosed(open);
			next.proceed();
		});
		exchange.getConnection().addCloseListener((c) -> {
			onResponseClosed(open);
			if (!exchange.isComplete()) {
				this.calls.recordDisconnect(call);
			}
		});
	}

	// Called after the last byte is written and when the connection closes; only the
	// first call counts.
	private void onResponseClosed(AtomicBoolean open) {
		if (open.compareAndSet(true, false)) {
			this.openResponses.decrementAndGet();
		}
	}

	private void withAccount(HttpServerExchange exchange, AccountAction action) {
		Optional<FleetConfiguration> configuration = this.calls.configuration();
		if (configuration.isEmpty()) {
			ProblemResponse.send(exchange,
					Refusal.notRun(RefusalReason.NOT_READY, "this entry has no configuration yet", RETRY_DELAY));
			return;
		}
		Either<Refusal, AccountDescription> account = this.reader.account(exchange, configuration.get());
		if (account.isLeft()) {
			ProblemResponse.send(exchange, account.getLeft());
			return;
		}
		action.accept(configuration.get(), account.get());
	}

	private void withBody(HttpServerExchange exchange, BodyAction action) {
		if (!RequestFraming.hasUnambiguousLength(exchange)) {
			exchange.setPersistent(false);
			ProblemResponse.send(exchange,
					Refusal.permanent(RefusalReason.BAD_REQUEST, "the request is not framed clearly"));
			return;
		}
		if (exchange.getRequestContentLength() > this.settings.maxBodyBytes()) {
			exchange.setPersistent(false);
			ProblemResponse.send(exchange, tooLarge());
			return;
		}
		exchange.setMaxEntitySize(this.settings.maxBodyBytes());
		exchange.getIoThread().executeAfter(() -> {
			if (!exchange.isRequestComplete()) {
				exchange.setPersistent(false);
				exchange.endExchange();
			}
		}, this.settings.requestTimeout().toMillis(), TimeUnit.MILLISECONDS);
		RequestFraming.validateChunks(exchange);
		exchange.getRequestReceiver().receiveFullBytes((e, body) -> {
			e.dispatch();
			action.accept(body);
		}, (e, ex) -> ProblemResponse.send(e, (ex instanceof RequestTooBigException) ? tooLarge()
				: Refusal.permanent(RefusalReason.BAD_REQUEST, "the body cannot be read: " + ex.getMessage())));
	}

	private static HttpHandler allowOnly(String method, HttpHandler handler) {
		return (e) -> {
			if (e.getRequestMethod().equalToString(method)) {
				handler.handleRequest(e);
				return;
			}
			e.getResponseHeaders().put(Headers.ALLOW, method);
			e.setStatusCode(StatusCodes.METHOD_NOT_ALLOWED);
			e.getResponseHeaders().put(Headers.CONTENT_TYPE, ProblemResponse.CONTENT_TYPE);
			Refusal refusal = Refusal.permanent(RefusalReason.BAD_REQUEST, "only " + method + " is allowed here");
			e.getResponseSender()
				.send(ProblemResponse.json(refusal).put("status", StatusCodes.METHOD_NOT_ALLOWED).toString());
		};
	}

	private static String readModel(byte[] body) {
		try {
			return JsonText.read(body).path("model").asText("");
		}
		catch (IOException ex) {
			return "";
		}
	}

	private Refusal tooLarge() {
		return Refusal.permanent(RefusalReason.TOO_LARGE,
				"the body is larger than " + this.settings.maxBodyBytes() + " bytes");
	}

	private static Refusal notFound() {
		return Refusal.permanent(RefusalReason.UNKNOWN_MODEL, "nothing is served under this path");
	}

	@FunctionalInterface
	private interface AccountAction {

		void accept(FleetConfiguration configuration, AccountDescription account);

	}

	@FunctionalInterface
	private interface BodyAction {

		void accept(byte[] body);

	}

}
