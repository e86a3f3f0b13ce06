package dev.laneworks.core.host;

import java.util.Locale;

/**
 * Status of a generation for operators.
 *
 * @param generation the name of the generation
 * @param account the client account
 * @param model the name of the model or service
 * @param state the state in lower case
 * @param priority the priority of the request, where higher values go first
 * @param promptTokens the number of prompt tokens
 * @param outputTokens the number of output chunks so far
 * @param read {@code true} if a reader is attached
 * @since 0.1
 */
public record GenerationStatus(String generation, String account, String model, String state, int priority,
		int promptTokens, int outputTokens, boolean read) {

	static final int MAX_SHOWN = 500;

	static GenerationStatus of(Generation generation) {
		return new GenerationStatus(generation.name(), generation.account(), generation.work().model(),
				generation.state().name().toLowerCase(Locale.ROOT), generation.priority(), generation.promptTokens(),
				generation.outputTokens(), generation.reader().isPresent());
	}

}
