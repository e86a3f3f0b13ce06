package dev.laneworks.sidecar.target;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import dev.laneworks.core.host.TargetLoss;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.verdict.AnswerMeaning;
import dev.laneworks.runtime.http.EventStreamParser;
import dev.laneworks.runtime.http.HttpResponseHead;
import dev.laneworks.runtime.http.HttpResponseListener;
import dev.laneworks.runtime.http.JsonText;
import org.tinylog.Logger;

/**
 * Parses the stream of server-sent events of one generation, in the format of the OpenAI
 * completions API.
 */
final class EngineStream implements HttpResponseListener {

	private static final int STATUS_OK = 200;

	private static final int STATUS_NOT_FOUND = 404;

	private static final int STATUS_GONE = 410;

	private static final String DONE = "[DONE]";

	private final String generation;

	private final TargetEvents events;

	private final EventStreamParser parser = new EventStreamParser(this::onEvent);

	private int status;

	private AnswerMeaning meaning = AnswerMeaning.FAILURE;

	private long nextOffset;

	private boolean ended;

	EngineStream(String generation, long offset, TargetEvents events) {
		this.generation = generation;
		this.nextOffset = offset;
		this.events = events;
	}

	@Override
	public void onConnectFailed(IOException cause) {
		reportLoss(TargetLoss.NOT_SENT);
	}

	@Override
	public void onHead(HttpResponseHead head) {
		this.status = head.status();
		this.meaning = TargetStatement.meaning(head);
	}

	@Override
	public void onBody(ByteBuffer data) {
		if (this.status == STATUS_OK && this.meaning == AnswerMeaning.RESULT) {
			this.parser.accept(data);
		}
	}

	@Override
	public void onComplete() {
		reportLoss(loss());
	}

	// An engine that may have started the generation is asked for its output again.
	private TargetLoss loss() {
		if (this.meaning == AnswerMeaning.NOT_RUN) {
			return TargetLoss.REFUSED;
		}
		boolean isUnknown = this.status == STATUS_NOT_FOUND || this.status == STATUS_GONE;
		return isUnknown ? TargetLoss.UNKNOWN : TargetLoss.BROKEN;
	}

	@Override
	public void onConnectionBroken(IOException cause) {
		Logger.info("answer of the engine broke: generation={}: {}", this.generation, cause.getMessage());
		reportLoss(TargetLoss.BROKEN);
	}

	private void onEvent(String data) {
		if (this.ended || data.equals(DONE)) {
			return;
		}
		try {
			onChunk(JsonText.read(data));
		}
		catch (IOException ex) {
			Logger.warn("event from the engine is not JSON, dropping the stream: generation={}", this.generation);
			reportLoss(TargetLoss.BROKEN);
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
			this.ended = true;
			FinishReason reason = finish.equals(FinishReason.LENGTH.label()) ? FinishReason.LENGTH : FinishReason.STOP;
			this.events.onEnd(this.generation, this.nextOffset, reason);
		}
	}

	private void reportLoss(TargetLoss loss) {
		if (!this.ended) {
			this.ended = true;
			this.events.onLost(this.generation, loss);
		}
	}

}
