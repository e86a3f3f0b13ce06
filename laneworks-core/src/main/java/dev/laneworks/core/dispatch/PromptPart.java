package dev.laneworks.core.dispatch;

import java.util.Objects;

/**
 * Part of a prompt whose KV cache an engine may reuse.
 *
 * @param id the identifier of the part
 * @param tokens the length in tokens
 * @since 0.2
 */
public record PromptPart(String id, long tokens) {

	public PromptPart {
		Objects.requireNonNull(id, "id must not be null");
	}

}
