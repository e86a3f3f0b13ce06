package dev.laneworks.entry.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/**
 * Response that buffers the output and sends it as one JSON document.
 */
final class BufferedResponse implements CallerResponse {

	private final HttpServerExchange exchange;

	private final CompletionJson json;

	private final int promptTokens;

	private final CallLatencyMetrics.Stopwatch stopwatch;

	private final Consumer<Long> onConsumed;

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	BufferedResponse(HttpServerExchange exchange, CompletionJson json, int promptTokens,
			CallLatencyMetrics.Stopwatch stopwatch, Consumer<Long> onConsumed) {
		this.exchange = exchange;
		this.json = json;
		this.promptTokens = promptTokens;
		this.stopwatch = stopwatch;
		this.onConsumed = onConsumed;
	}

	@Override
	public void accepted(StreamPosition position, String route) {
		ResponseHeaders.put(this.exchange, position, route);
	}

	@Override
	public void deliver(long offset, byte[] data) {
		this.stopwatch.recordToken();
		this.output.writeBytes(data);
		this.onConsumed.accept(offset + 1);
	}

	@Override
	public void finish(long total, FinishReason reason) {
		this.stopwatch.recordEnd();
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		this.exchange.getResponseSender()
			.send(this.json.whole(this.output.toString(StandardCharsets.UTF_8), total, this.promptTokens, reason));
	}

	@Override
	public void refuse(Refusal refusal) {
		this.stopwatch.recordEnd();
		ProblemResponse.send(this.exchange, refusal);
	}

}
