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
 * Gathers output and answers a caller that wants it in one piece.
 */
final class WholeAnswer implements CallerAnswer {

	private final HttpServerExchange exchange;

	private final CompletionJson json;

	private final int promptTokens;

	private final CallTimes.Stopwatch stopwatch;

	private final Consumer<Long> taken;

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	WholeAnswer(HttpServerExchange exchange, CompletionJson json, int promptTokens, CallTimes.Stopwatch stopwatch,
			Consumer<Long> taken) {
		this.exchange = exchange;
		this.json = json;
		this.promptTokens = promptTokens;
		this.stopwatch = stopwatch;
		this.taken = taken;
	}

	@Override
	public void accepted(StreamPosition position, String route) {
		AnswerHeaders.put(this.exchange, position, route);
	}

	@Override
	public void deliver(long offset, byte[] data) {
		this.stopwatch.token();
		this.output.writeBytes(data);
		this.taken.accept(offset + 1);
	}

	@Override
	public void finish(long total, FinishReason reason) {
		this.stopwatch.end();
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		this.exchange.getResponseSender()
			.send(this.json.whole(this.output.toString(StandardCharsets.UTF_8), total, this.promptTokens, reason));
	}

	@Override
	public void refuse(Refusal refusal) {
		this.stopwatch.end();
		CallerProblem.send(this.exchange, refusal);
	}

}
