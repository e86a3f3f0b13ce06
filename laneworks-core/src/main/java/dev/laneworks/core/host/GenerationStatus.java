package dev.laneworks.core.host;

import java.util.Locale;

/**
 * A generation as operators see it.
 *
 * @param generation the generation's name
 * @param account the client account
 * @param model the model or service
 * @param state where it stands
 * @param priority its priority
 * @param promptTokens the tokens of its prompt
 * @param outputTokens the pieces of output so far
 * @param read whether a reader is attached
 * @since 0.1
 */
public record GenerationStatus(String generation, String account, String model, String state, int priority,
		int promptTokens, int outputTokens, boolean read) {

	static final int MOST_SHOWN = 500;

	static GenerationStatus of(Generation generation) {
		return new GenerationStatus(generation.name(), generation.account(), generation.work().model(),
				generation.state().name().toLowerCase(Locale.ROOT), generation.priority(), generation.promptTokens(),
				generation.outputTokens(), generation.reader().isPresent());
	}

}
