package dev.laneworks.core.dispatch;

import java.util.Objects;

/**
 * A part of a prompt that an engine may keep and read again.
 *
 * @param id the part's name
 * @param tokens its length
 * @since 0.2
 */
public record PromptPart(String id, long tokens) {

	public PromptPart {
		Objects.requireNonNull(id, "id must not be null");
	}

}
