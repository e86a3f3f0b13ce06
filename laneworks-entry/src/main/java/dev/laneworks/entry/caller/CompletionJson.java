package dev.laneworks.entry.caller;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.OperationKind;
import dev.laneworks.runtime.http.JsonText;

/**
 * Writes output in the JSON format of the OpenAI completions API.
 */
final class CompletionJson {

	private final OperationKind kind;

	private final String chunkPrefix;

	private final String id;

	private final String model;

	private final long createdSeconds;

	CompletionJson(OperationKind kind, String id, String model, long createdSeconds) {
		this.kind = kind;
		this.id = id;
		this.model = model;
		this.createdSeconds = createdSeconds;
		ObjectNode json = base(true);
		String text = json.toString();
		this.chunkPrefix = text.substring(0, text.length() - 1) + ",\"choices\":[{\"index\":0,";
	}

	String chunk(long offset, byte[] data) {
		StringBuilder json = new StringBuilder(this.chunkPrefix.length() + data.length + 64).append(this.chunkPrefix);
		json.append((this.kind != OperationKind.CHAT) ? "\"text\":\""
				: ((offset != 0) ? "\"delta\":{\"content\":\"" : "\"delta\":{\"role\":\"assistant\",\"content\":\""));
		JsonStringEncoder.getInstance().quoteAsString(new String(data, StandardCharsets.UTF_8), json);
		json.append(
				(this.kind != OperationKind.CHAT) ? "\",\"finish_reason\":null}]}" : "\"},\"finish_reason\":null}]}");
		return json.toString();
	}

	// The last event carries the token count, so that a caller can detect a truncated
	// response.
	String last(long total, FinishReason reason) {
		String emptyOutput = (this.kind != OperationKind.CHAT) ? "\"text\":\"\"" : "\"delta\":{}";
		return this.chunkPrefix + emptyOutput + ",\"finish_reason\":\"" + reason.label()
				+ "\"}],\"usage\":{\"completion_tokens\":" + total + "}}";
	}

	String whole(String output, long total, int promptTokens, FinishReason reason) {
		ObjectNode json = base(false);
		ObjectNode choice = json.putArray("choices").addObject();
		choice.put("index", 0);
		if (this.kind != OperationKind.CHAT) {
			choice.put("text", output);
		}
		else {
			choice.putObject("message").put("role", "assistant").put("content", output);
		}
		choice.put("finish_reason", reason.label());
		json.putObject("usage")
			.put("prompt_tokens", promptTokens)
			.put("completion_tokens", total)
			.put("total_tokens", promptTokens + total);
		return json.toString();
	}

	private ObjectNode base(boolean chunk) {
		String object = (this.kind != OperationKind.CHAT) ? "text_completion"
				: (chunk ? "chat.completion.chunk" : "chat.completion");
		return JsonText.object()
			.put("id", this.id)
			.put("object", object)
			.put("created", this.createdSeconds)
			.put("model", this.model);
	}

}
