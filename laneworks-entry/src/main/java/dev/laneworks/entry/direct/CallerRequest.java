package dev.laneworks.entry.direct;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.entry.caller.CallLatencyMetrics;
import dev.laneworks.entry.caller.CallerConnection;
import dev.laneworks.entry.caller.ProblemResponse;
import dev.laneworks.runtime.http.HttpHeader;
import dev.laneworks.runtime.http.HttpResponseHead;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.tinylog.Logger;
import org.xnio.IoUtils;

/**
 * Caller's request and the connection that its answer is written to. Used on the I/O
 * thread alone.
 */
final class CallerRequest {

	/** Headers that apply to a single connection and are not forwarded. */
	private static final Set<String> HOP_BY_HOP_HEADERS = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private static final Refusal UNWRITABLE = Refusal.mayHaveRun(RefusalReason.TARGET_LOST,
			"the answer cannot be written");

	private final HttpServerExchange exchange;

	private final CallerConnection connection;

	private final List<HttpHeader> headers;

	private final String uri;

	private byte[] body = new byte[0];

	private Optional<StreamWriter> stream = Optional.empty();

	private Optional<CallLatencyMetrics.Stopwatch> stopwatch = Optional.empty();

	CallerRequest(HttpServerExchange exchange) {
		this.exchange = exchange;
		this.connection = new CallerConnection(exchange);
		this.headers = headersOf(exchange);
		String query = exchange.getQueryString();
		this.uri = query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + '?' + query;
	}

	HttpServerExchange exchange() {
		return this.exchange;
	}

	CallerConnection connection() {
		return this.connection;
	}

	String method() {
		return this.exchange.getRequestMethod().toString();
	}

	String uri() {
		return this.uri;
	}

	List<HttpHeader> headers() {
		return this.headers;
	}

	// Return the end-to-end headers: all but the hop-by-hop ones and those that the
	// Connection header names.
	List<HttpHeader> forwardedHeaders() {
		Set<String> excluded = new HashSet<>(HOP_BY_HOP_HEADERS);
		this.headers.stream()
			.filter((h) -> h.name().equalsIgnoreCase("Connection"))
			.flatMap((h) -> List.of(h.value().split(",")).stream())
			.forEach((n) -> excluded.add(n.trim().toLowerCase(Locale.ROOT)));
		return this.headers.stream().filter((h) -> !excluded.contains(h.name().toLowerCase(Locale.ROOT))).toList();
	}

	byte[] body() {
		return this.body;
	}

	void body(byte[] received) {
		this.body = received;
	}

	// Return a digest that identifies identical requests; to be called once the body is
	// complete.
	RequestDigest digest(String account) {
		return RequestDigest.of(account, this.exchange.getHostName(), this.uri, this.body);
	}

	void measure(CallLatencyMetrics.Stopwatch started) {
		this.stopwatch = Optional.of(started);
	}

	/**
	 * Perform an action that writes to the caller. If it throws, the caller receives a
	 * refusal instead, or the end of its connection if the answer has started.
	 * @param action the action
	 * @return {@code true} if the action did not throw
	 */
	boolean write(Runnable action) {
		try {
			action.run();
			return true;
		}
		// After an error, too, the I/O thread goes on, and the caller would wait in vain.
		catch (RuntimeException | Error ex) {
			Logger.error(ex, "an answer cannot be written");
			refuseInstead();
			return false;
		}
	}

	private void refuseInstead() {
		if (this.exchange.isResponseStarted()) {
			cutStream();
			return;
		}
		try {
			this.exchange.getResponseHeaders().clear();
			refuse(UNWRITABLE, List.of());
		}
		catch (RuntimeException | Error ex) {
			Logger.error(ex, "the refusal cannot be written");
			cutStream();
		}
	}

	void deliver(TargetAnswer answer) {
		this.stopwatch.ifPresent(CallLatencyMetrics.Stopwatch::recordToken);
		if (isAnsweredOrClosed()) {
			return;
		}
		putHead(answer.head());
		this.exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
	}

	void startStream(HttpResponseHead head, OutputBacklog backlog, Runnable writeFailed) {
		if (isAnsweredOrClosed()) {
			return;
		}
		putHead(head);
		// Chunked even if the connection closes after the answer, so that a truncated
		// answer is detectable.
		this.exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
		this.stream = Optional.of(new StreamWriter(this.exchange, backlog, writeFailed));
	}

	void relay(byte[] data) {
		if (data.length > 0) {
			this.stopwatch.ifPresent(CallLatencyMetrics.Stopwatch::recordToken);
			this.stream.ifPresent((s) -> s.write(data));
		}
	}

	void endStream() {
		this.stopwatch.ifPresent(CallLatencyMetrics.Stopwatch::recordEnd);
		this.stream.ifPresent(StreamWriter::end);
	}

	void cutStream() {
		this.stream.ifPresentOrElse(StreamWriter::cut, () -> IoUtils.safeClose(this.exchange.getConnection()));
	}

	void refuse(Refusal refusal, List<HttpHeader> extraHeaders) {
		if (isAnsweredOrClosed()) {
			return;
		}
		extraHeaders.forEach((h) -> this.exchange.getResponseHeaders().put(new HttpString(h.name()), h.value()));
		ProblemResponse.send(this.exchange, refusal);
	}

	private boolean isAnsweredOrClosed() {
		return this.exchange.isResponseStarted() || !this.exchange.getConnection().isOpen();
	}

	private void putHead(HttpResponseHead head) {
		this.exchange.setStatusCode(head.status());
		for (HttpHeader header : head.headers()) {
			if (!HOP_BY_HOP_HEADERS.contains(header.name().toLowerCase(Locale.ROOT))) {
				this.exchange.getResponseHeaders().add(new HttpString(header.name()), header.value());
			}
		}
	}

	private static List<HttpHeader> headersOf(HttpServerExchange exchange) {
		List<HttpHeader> found = new ArrayList<>();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			values.forEach((v) -> found.add(new HttpHeader(values.getHeaderName().toString(), v)));
		}
		return found;
	}

}
