package dev.laneworks.sidecar.target;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import dev.laneworks.core.host.TargetLoss;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.runtime.http.EventStreamParser;
import dev.laneworks.runtime.http.HttpResponseHead;
import dev.laneworks.runtime.http.HttpResponseListener;
import dev.laneworks.runtime.http.JsonText;
import org.tinylog.Logger;

/**
 * Reads one engine's response of server-sent events, in the form that OpenAI's interface
 * has.
 */
final class EngineStream implements HttpResponseListener {

	private static final int OK = 200;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private static final int FIRST_SERVER_ERROR = 500;

	private static final int NOT_FOUND = 404;

	private static final int GONE = 410;

	private static final String DONE = "[DONE]";

	private final String generation;

	private final TargetEvents events;

	private final EventStreamParser parser = new EventStreamParser(this::onEvent);

	private int status;

	private long nextOffset;

	private boolean over;

	EngineStream(String generation, long offset, TargetEvents events) {
		this.generation = generation;
		this.nextOffset = offset;
		this.events = events;
	}

	@Override
	public void onNotSent(IOException cause) {
		lost(TargetLoss.NOT_SENT);
	}

	@Override
	public void onHead(HttpResponseHead head) {
		this.status = head.status();
	}

	@Override
	public void onBody(ByteBuffer data) {
		if (this.status == OK) {
			this.parser.accept(data);
		}
	}

	@Override
	public void onEnd() {
		if (this.status == OK) {
			lost(TargetLoss.BROKEN);
		}
		else if (this.status == NOT_FOUND || this.status == GONE) {
			lost(TargetLoss.UNKNOWN);
		}
		else if (this.status == TOO_MANY_REQUESTS || this.status == UNAVAILABLE || this.status < FIRST_SERVER_ERROR) {
			lost(TargetLoss.REFUSED);
		}
		else {
			lost(TargetLoss.BROKEN);
		}
	}

	@Override
	public void onBroken(IOException cause) {
		lost(TargetLoss.BROKEN);
	}

	private void onEvent(String data) {
		if (this.over || data.equals(DONE)) {
			return;
		}
		try {
			onChunk(JsonText.read(data));
		}
		catch (IOException ex) {
			Logger.warn("engine sent an event that is not JSON: generation={}", this.generation);
			lost(TargetLoss.BROKEN);
		}
	}

	private void onChunk(JsonNode json) {
		JsonNode choice = json.path("choices").path(0);
		String text = choice.has("delta") ? choice.path("delta").path("content").asText("")
				: choice.path("text").asText("");
		if (!text.isEmpty()) {
			this.events.onChunk(this.generation, this.nextOffset++, text.getBytes(StandardCharsets.UTF_8));
		}
		String finish = choice.path("finish_reason").asText("");
		if (!finish.isEmpty() && !finish.equals("null")) {
			this.over = true;
			FinishReason reason = finish.equals(FinishReason.LENGTH.label()) ? FinishReason.LENGTH : FinishReason.STOP;
			this.events.onEnd(this.generation, this.nextOffset, reason);
		}
	}

	private void lost(TargetLoss loss) {
		if (!this.over) {
			this.over = true;
			this.events.onLost(this.generation, loss);
		}
	}

}
