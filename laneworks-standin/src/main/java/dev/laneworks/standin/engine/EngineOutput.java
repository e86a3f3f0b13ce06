package dev.laneworks.standin.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.laneworks.runtime.http.EventStream;
import dev.laneworks.runtime.http.JsonText;

/**
 * Output of a generation as a sequence of server-sent events, with the streams that read
 * it. Confined to the engine's thread.
 */
final class EngineOutput {

	private final String name;

	private final String model;

	private final boolean chat;

	private final List<String> tokens = new ArrayList<>();

	private final Map<EventStream, Integer> readers = new HashMap<>();

	private String finishReason;

	private long endedAt;

	EngineOutput(String name, String model, boolean chat) {
		this.name = name;
		this.model = model;
		this.chat = chat;
	}

	// Sends the tokens from the offset on, and each later token when it is generated.
	void attachReader(EventStream stream, int offset) {
		this.readers.put(stream, offset);
		sendAvailable(stream);
	}

	void append(String token) {
		this.tokens.add(token);
		sendAvailableToAll();
	}

	void end(String reason, long atMicros) {
		this.finishReason = reason;
		this.endedAt = atMicros;
		sendAvailableToAll();
	}

	void endStreams() {
		this.readers.keySet().forEach(EventStream::end);
	}

	boolean hasEndedBefore(long timeMicros) {
		return this.finishReason != null && this.endedAt < timeMicros;
	}

	private void sendAvailableToAll() {
		List.copyOf(this.readers.keySet()).forEach(this::sendAvailable);
	}

	private void sendAvailable(EventStream stream) {
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

	private String chunk(int offset, String text, String reasonOrNull) {
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
		choice.put("finish_reason", reasonOrNull);
		return json.toString();
	}

}
