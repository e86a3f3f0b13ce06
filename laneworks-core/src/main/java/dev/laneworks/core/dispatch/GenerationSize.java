package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Size of a generation as far as it matters to engine scheduling.
 *
 * @param model the model's name
 * @param promptTokens the number of prompt tokens
 * @param maxTokens the maximum number of generated tokens
 * @param expectedTokens the caller's estimate of the generated tokens, if given
 * @param parts the parts of the prompt in order; all but the last may be shared
 * @since 0.2
 */
public record GenerationSize(String model, long promptTokens, long maxTokens, OptionalLong expectedTokens,
		List<PromptPart> parts) {

	/**
	 * Tokens reserved ahead of a running generation, which are about two seconds of
	 * growth, so that a target that fills up can be avoided in time.
	 */
	private static final long GROWTH_TOKENS = 250;

	/**
	 * Minimum length of a generation for which a live copy is worthwhile. A shorter one
	 * finishes within the reclaim notice, and its engine takes longer to read its prompt
	 * than to generate it.
	 */
	private static final long LONG_TOKENS = 200;

	public GenerationSize {
		Objects.requireNonNull(model, "model must not be null");
		Objects.requireNonNull(expectedTokens, "expectedTokens must not be null");
		parts = List.copyOf(parts);
		if (promptTokens < 0 || maxTokens < 0) {
			throw new IllegalArgumentException("promptTokens and maxTokens must not be negative");
		}
	}

	/**
	 * Determine whether the generation is too short to need a copy.
	 * @return {@code true} if it ends soon after its prompt is read
	 */
	public boolean isShort() {
		return this.maxTokens < LONG_TOKENS;
	}

	/**
	 * Return the engine memory to reserve for the generation.
	 * @param generated the number of tokens generated so far
	 * @return the number of prompt and generated tokens plus a growth reserve
	 */
	public long reservedTokens(long generated) {
		return this.promptTokens + generated + Math.min(GROWTH_TOKENS, Math.max(0, this.maxTokens - generated));
	}

}
