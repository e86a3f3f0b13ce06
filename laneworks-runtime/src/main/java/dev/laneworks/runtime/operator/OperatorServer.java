package dev.laneworks.runtime.operator;

import java.net.InetSocketAddress;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.runtime.audit.AuditRecord;
import dev.laneworks.runtime.audit.AuditTrail;
import dev.laneworks.runtime.http.JsonText;
import dev.laneworks.runtime.metrics.MetricsText;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.xnio.XnioWorker;

/**
 * HTTP server for operators and metric scrapers, on its own port.
 * <p>
 * It serves {@code /livez}, {@code /readyz}, {@code /metrics}, {@code /status},
 * {@code /audit?kind=&subject=&limit=} and {@code /trace/REQUEST}.
 *
 * @since 0.1
 */
public final class OperatorServer {

	private static final int DEFAULT_LIMIT = 100;

	private static final int MAX_LIMIT = 10_000;

	private static final String JSON = "application/json";

	private final Undertow server;

	/**
	 * Create a server; {@link #start} opens its port.
	 * @param worker the I/O threads
	 * @param address the local address to bind to
	 * @param metrics the metric registry of the process
	 * @param audit the audit trail of the process
	 * @param ready determines whether the process accepts new requests
	 * @param status supplies the state of the process, written as JSON; may block
	 * @param additionalRoutes additional routes of the program
	 */
	public OperatorServer(XnioWorker worker, InetSocketAddress address, MetricRegistry metrics, AuditTrail audit,
			BooleanSupplier ready, Supplier<Object> status, RoutingHandler additionalRoutes) {
		MetricsText text = new MetricsText(metrics);
		RoutingHandler routes = Handlers.routing()
			.get("/livez", (e) -> e.getResponseSender().send("live\n"))
			.get("/readyz", (e) -> sendReadiness(e, ready.getAsBoolean()))
			.get("/metrics", blocking((e) -> send(e, MetricsText.CONTENT_TYPE, text.write())))
			.get("/status", blocking((e) -> send(e, JSON, JsonText.write(status.get()))))
			.get("/audit", blocking((e) -> sendAudit(e, audit)))
			.get("/trace/{request}", blocking((e) -> sendTrace(e, audit)));
		routes.addAll(additionalRoutes);
		this.server = Undertow.builder()
			.setWorker(worker)
			.addHttpListener(address.getPort(), address.getHostString())
			.setHandler(routes)
			.build();
	}

	/**
	 * Start listening.
	 */
	public void start() {
		this.server.start();
	}

	/**
	 * Stop listening.
	 */
	public void stop() {
		this.server.stop();
	}

	/**
	 * Return the address that the server listens on.
	 * @return the actual address, also if the server was bound to port 0
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
	}

	/**
	 * Send a response body.
	 * @param exchange the exchange to answer
	 * @param type the media type of the body
	 * @param body the text of the body
	 */
	public static void send(HttpServerExchange exchange, String type, String body) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
		exchange.getResponseSender().send(body);
	}

	private static HttpHandler blocking(HttpHandler handler) {
		return (e) -> e.dispatch(handler);
	}

	private static void sendReadiness(HttpServerExchange exchange, boolean ready) {
		exchange.setStatusCode(ready ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
		exchange.getResponseSender().send(ready ? "ready\n" : "not ready\n");
	}

	private static void sendAudit(HttpServerExchange exchange, AuditTrail audit) {
		String kind = parameter(exchange, "kind", "");
		String subject = parameter(exchange, "subject", "");
		List<AuditRecord> records = audit.latest((e) -> matches(e, kind, subject), limit(exchange));
		send(exchange, JSON, JsonText.write(records));
	}

	private static void sendTrace(HttpServerExchange exchange, AuditTrail audit) {
		String request = parameter(exchange, "request", "");
		List<AuditRecord> records = audit.latest((e) -> e.subject().startsWith(request), MAX_LIMIT);
		if (records.isEmpty()) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND);
		}
		send(exchange, JSON, JsonText.write(records));
	}

	private static boolean matches(AuditEvent event, String kind, String subject) {
		return (kind.isEmpty() || event.kind().label().equals(kind)) && event.subject().startsWith(subject);
	}

	private static int limit(HttpServerExchange exchange) {
		try {
			int limit = Integer.parseInt(parameter(exchange, "limit", String.valueOf(DEFAULT_LIMIT)));
			return Math.max(1, Math.min(MAX_LIMIT, limit));
		}
		catch (NumberFormatException ex) {
			return DEFAULT_LIMIT;
		}
	}

	private static String parameter(HttpServerExchange exchange, String name, String fallback) {
		Deque<String> values = exchange.getQueryParameters().get(name);
		return (values != null && !values.isEmpty()) ? values.getFirst() : fallback;
	}

}
