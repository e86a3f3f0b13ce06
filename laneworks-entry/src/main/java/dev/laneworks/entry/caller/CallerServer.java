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
import dev.laneworks.core.message.WorkKind;
import dev.laneworks.core.stream.OnceTicket;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.stream.TokenSealer;
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
 * Serves callers over HTTP.
 * <p>
 * {@code POST /v1/completions} and {@code /v1/chat/completions}, streamed or whole;
 * {@code GET /v1/streams} with {@code Last-Event-ID} goes on with a stream;
 * {@code POST /v1/tickets} makes a ticket for a request that must not be repeated;
 * {@code GET /v1/models}; {@code /services/NAME/…}; {@code /livez} and {@code /readyz}. A
 * request with {@code Last-Event-ID} goes on with its stream whatever its path, as
 * clients of server-sent events send it again.
 *
 * @since 0.1
 */
public final class CallerServer {

	private static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-ID");

	private static final Duration FULL_RETRY = Duration.ofSeconds(1);

	private static final String SERVICES = "/services/";

	private final CallerSettings settings;

	private final CallPort calls;

	private final byte[] secret;

	private final CallTimes times;

	private final BooleanSupplier ready;

	private final RequestReader reader;

	private final AtomicInteger openAnswers = new AtomicInteger();

	private final Undertow server;

	/**
	 * Create a server.
	 * @param io the I/O threads
	 * @param settings bounds of connections and requests
	 * @param calls where calls go
	 * @param secret the secret that all entries share
	 * @param times measures what readers experience
	 * @param ready whether the balancer should send callers here
	 */
	public CallerServer(IoWorker io, CallerSettings settings, CallPort calls, byte[] secret, CallTimes times,
			BooleanSupplier ready) {
		this.settings = settings;
		this.calls = calls;
		this.secret = secret.clone();
		this.times = times;
		this.ready = ready;
		this.reader = new RequestReader(secret, settings.patience());
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
	 * Start to listen.
	 */
	public void start() {
		this.server.start();
	}

	/**
	 * End listening.
	 */
	public void stop() {
		this.server.stop();
	}

	/**
	 * Return how many answers are not written to their end.
	 * @return the count
	 */
	public int openAnswers() {
		return this.openAnswers.get();
	}

	private HttpHandler routes() {
		return Handlers.path()
			.addExactPath("/livez", (e) -> e.getResponseSender().send("live\n"))
			.addExactPath("/readyz", this::readyz)
			.addExactPath("/v1/completions", only("POST", (e) -> generation(e, WorkKind.COMPLETION)))
			.addExactPath("/v1/chat/completions", only("POST", (e) -> generation(e, WorkKind.CHAT)))
			.addExactPath("/v1/streams", only("GET", this::comeBack))
			.addExactPath("/v1/tickets", only("POST", this::ticket))
			.addExactPath("/v1/models", only("GET", this::models))
			.addPrefixPath(SERVICES, this::service)
			.addPrefixPath("/", (e) -> CallerProblem.send(e, notFound()));
	}

	private void readyz(HttpServerExchange exchange) {
		boolean isReady = this.ready.getAsBoolean();
		exchange.setStatusCode(isReady ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
		exchange.getResponseSender().send(isReady ? "ready\n" : "not ready\n");
	}

	private void generation(HttpServerExchange exchange, WorkKind kind) {
		if (exchange.getRequestHeaders().contains(LAST_EVENT_ID)) {
			comeBack(exchange);
			return;
		}
		withAccount(exchange, (c, a) -> withBody(exchange, (body) -> {
			var request = this.reader.generation(exchange, body, kind, a, c);
			if (request.isLeft()) {
				CallerProblem.send(exchange, request.getLeft());
				return;
			}
			open(exchange, request.get());
		}));
	}

	private void open(HttpServerExchange exchange, RequestReader.GenerationRequest generation) {
		CallRequest request = generation.request();
		String id = request.work().requestId();
		exchange.getResponseHeaders().put(AnswerHeaders.REQUEST, id);
		CompletionJson json = new CompletionJson(request.work().kind(), id, request.work().model(),
				System.currentTimeMillis() / 1000);
		long call = this.calls.nextCall();
		CallerAnswer answer = generation.stream() ? streamed(exchange, json, call) : new WholeAnswer(exchange, json,
				request.work().promptTokens(), this.times.start(), (o) -> this.calls.read(call, o));
		watch(exchange, call);
		answerIfFull(exchange, this.calls.open(call, request, answer));
	}

	private void comeBack(HttpServerExchange exchange) {
		withAccount(exchange, (c, a) -> {
			String id = exchange.getRequestHeaders().getFirst(LAST_EVENT_ID);
			Optional<StreamPosition> position = (id != null) ? new TokenSealer(this.secret).openPosition(id)
					: Optional.empty();
			if (position.isEmpty() || !position.get().account().equals(a.name())) {
				CallerProblem.send(exchange, Refusal.never(RefusalReason.BAD_REQUEST,
						"the Last-Event-ID header must be the identity of an event that this account received"));
				return;
			}
			CallRequest request = RequestReader.returning(a.name());
			WorkKind kind = exchange.getRequestPath().contains("chat") ? WorkKind.CHAT : WorkKind.COMPLETION;
			CompletionJson json = new CompletionJson(kind, position.get().generation(), "",
					System.currentTimeMillis() / 1000);
			long call = this.calls.nextCall();
			watch(exchange, call);
			exchange.dispatch();
			answerIfFull(exchange, this.calls.resume(call, request, position.get(), streamed(exchange, json, call)));
		});
	}

	private void service(HttpServerExchange exchange) {
		String below = exchange.getRelativePath();
		String trimmed = below.startsWith("/") ? below.substring(1) : below;
		int slash = trimmed.indexOf('/');
		String name = (slash >= 0) ? trimmed.substring(0, slash) : trimmed;
		String path = (slash >= 0) ? trimmed.substring(slash) : "/";
		withAccount(exchange, (c, a) -> withBody(exchange, (body) -> {
			Either<Refusal, CallRequest> request = this.reader.service(exchange, body, name, path, a, c);
			if (request.isLeft()) {
				CallerProblem.send(exchange, request.getLeft());
				return;
			}
			exchange.getResponseHeaders().put(AnswerHeaders.REQUEST, request.get().work().requestId());
			long call = this.calls.nextCall();
			watch(exchange, call);
			answerIfFull(exchange, this.calls.open(call, request.get(), new ServiceAnswer(exchange)));
		}));
	}

	private void ticket(HttpServerExchange exchange) {
		withAccount(exchange, (c, a) -> withBody(exchange, (body) -> {
			String model = modelOf(body);
			if (c.intent(a.name(), model).isEmpty()) {
				CallerProblem.send(exchange, Refusal.never(RefusalReason.UNKNOWN_MODEL,
						"the account may use no model or service named '" + model + "'"));
				return;
			}
			Optional<OnceTicket> ticket = this.calls.ticket(a.name(), model);
			if (ticket.isEmpty()) {
				CallerProblem.send(exchange,
						Refusal.notRun(RefusalReason.NO_TARGET, "no home can be named now", FULL_RETRY));
				return;
			}
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender()
				.send(JsonText.object()
					.put("ticket", new TokenSealer(this.secret).sealTicket(ticket.get()))
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

	private StreamedAnswer streamed(HttpServerExchange exchange, CompletionJson json, long call) {
		return new StreamedAnswer(exchange, json, new TokenSealer(this.secret), this.times.start(),
				this.settings.stalledTimeout(), (o) -> this.calls.read(call, o), () -> this.calls.left(call));
	}

	private void watch(HttpServerExchange exchange, long call) {
		new CallerPresence(exchange, () -> this.calls.left(call)).watch();
		AtomicBoolean open = new AtomicBoolean(true);
		this.openAnswers.incrementAndGet();
		exchange.addExchangeCompleteListener((e, next) -> {
			closed(open);
			next.proceed();
		});
		exchange.getConnection().addCloseListener((c) -> {
			closed(open);
			if (!exchange.isComplete()) {
				this.calls.left(call);
			}
		});
	}

	// An answer is over when its last byte is written or its connection is closed,
	// whichever comes first.
	private void closed(AtomicBoolean open) {
		if (open.compareAndSet(true, false)) {
			this.openAnswers.decrementAndGet();
		}
	}

	private static void answerIfFull(HttpServerExchange exchange, boolean taken) {
		if (!taken) {
			CallerProblem.send(exchange,
					Refusal.notRun(RefusalReason.OVERLOADED, "this entry can take no more calls", FULL_RETRY));
		}
	}

	private void withAccount(HttpServerExchange exchange, AccountAction action) {
		Optional<FleetConfiguration> configuration = this.calls.configuration();
		if (configuration.isEmpty()) {
			CallerProblem.send(exchange,
					Refusal.notRun(RefusalReason.NOT_READY, "this entry has no configuration yet", FULL_RETRY));
			return;
		}
		Either<Refusal, AccountDescription> account = this.reader.account(exchange, configuration.get());
		if (account.isLeft()) {
			CallerProblem.send(exchange, account.getLeft());
			return;
		}
		action.accept(configuration.get(), account.get());
	}

	private void withBody(HttpServerExchange exchange, BodyAction action) {
		if (exchange.getRequestContentLength() > this.settings.maxBodyBytes()) {
			exchange.setPersistent(false);
			CallerProblem.send(exchange, tooLarge());
			return;
		}
		exchange.setMaxEntitySize(this.settings.maxBodyBytes());
		exchange.getIoThread().executeAfter(() -> {
			if (!exchange.isRequestComplete()) {
				exchange.setPersistent(false);
				exchange.endExchange();
			}
		}, this.settings.requestTimeout().toMillis(), TimeUnit.MILLISECONDS);
		exchange.getRequestReceiver().receiveFullBytes((e, body) -> {
			e.dispatch();
			action.accept(body);
		}, (e, ex) -> CallerProblem.send(e, (ex instanceof RequestTooBigException) ? tooLarge()
				: Refusal.never(RefusalReason.BAD_REQUEST, "the body can't be read: " + ex.getMessage())));
	}

	private static HttpHandler only(String method, HttpHandler handler) {
		return (e) -> {
			if (e.getRequestMethod().equalToString(method)) {
				handler.handleRequest(e);
				return;
			}
			e.getResponseHeaders().put(Headers.ALLOW, method);
			e.setStatusCode(StatusCodes.METHOD_NOT_ALLOWED);
			e.getResponseHeaders().put(Headers.CONTENT_TYPE, CallerProblem.CONTENT_TYPE);
			Refusal refusal = Refusal.never(RefusalReason.BAD_REQUEST, "only " + method + " is served here");
			e.getResponseSender()
				.send(CallerProblem.json(refusal).put("status", StatusCodes.METHOD_NOT_ALLOWED).toString());
		};
	}

	private static String modelOf(byte[] body) {
		try {
			return JsonText.read(body).path("model").asText("");
		}
		catch (IOException ex) {
			return "";
		}
	}

	private Refusal tooLarge() {
		return Refusal.never(RefusalReason.TOO_LARGE,
				"the body is larger than " + this.settings.maxBodyBytes() + " bytes");
	}

	private static Refusal notFound() {
		return Refusal.never(RefusalReason.UNKNOWN_MODEL, "nothing is served under this path");
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
