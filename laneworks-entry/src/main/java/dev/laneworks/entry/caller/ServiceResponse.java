package dev.laneworks.entry.caller;

import java.nio.ByteBuffer;

import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.ServiceReply;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/**
 * Returns the reply of a plain service to its caller.
 */
final class ServiceResponse implements CallerResponse {

	private final HttpServerExchange exchange;

	private ServiceReply reply;

	ServiceResponse(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	@Override
	public void accepted(StreamPosition position, String route) {
		ResponseHeaders.put(this.exchange, position, route);
	}

	@Override
	public void deliver(long offset, byte[] data) {
		this.reply = ServiceReply.decode(data);
	}

	@Override
	public void finish(long total, FinishReason reason) {
		if (this.reply == null) {
			ProblemResponse.send(this.exchange,
					Refusal.ranInPart(RefusalReason.TARGET_LOST, "the service returned no response"));
			return;
		}
		this.exchange.setStatusCode(this.reply.status());
		if (!this.reply.contentType().isEmpty()) {
			this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, this.reply.contentType());
		}
		this.exchange.getResponseSender().send(ByteBuffer.wrap(this.reply.body()));
	}

	@Override
	public void refuse(Refusal refusal) {
		ProblemResponse.send(this.exchange, refusal);
	}

}
