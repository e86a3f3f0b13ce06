package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * What a generation asks of an engine.
 *
 * @param model the model's name
 * @param promptTokens the tokens of the prompt
 * @param maxTokens the most tokens that it generates
 * @param expectedTokens the caller's estimate of the tokens generated, if it gave one
 * @param parts the parts of the prompt in order; those before the last may be shared
 * @since 0.2
 */
public record EngineWork(String model, long promptTokens, long maxTokens, OptionalLong expectedTokens,
		List<PromptPart> parts) {

	/**
	 * The tokens that a running generation is given room for ahead; about two seconds of
	 * growth, in which a target that fills up can be avoided.
	 */
	private static final long GROWTH_TOKENS = 250;

	/**
	 * The tokens from which a generation is a long one, worth a running copy: a shorter
	 * one ends within any notice, and engines take longer to read its prompt than to
	 * generate.
	 */
	private static final long LONG_TOKENS = 200;

	public EngineWork {
		Objects.requireNonNull(model, "model must not be null");
		Objects.requireNonNull(expectedTokens, "expectedTokens must not be null");
		parts = List.copyOf(parts);
		if (promptTokens < 0 || maxTokens < 0) {
			throw new IllegalArgumentException("promptTokens and maxTokens must not be negative");
		}
	}

	/**
	 * Return whether the generation ends soon after its prompt is read.
	 * @return whether it is a short one
	 */
	public boolean isShort() {
		return this.maxTokens < LONG_TOKENS;
	}

	/**
	 * Return the engine memory that the generation holds and will hold soon.
	 * @param generated the tokens generated so far
	 * @return the prompt, what was generated, and room to grow in
	 */
	public long heldTokens(long generated) {
		return this.promptTokens + generated + Math.min(GROWTH_TOKENS, Math.max(0, this.maxTokens - generated));
	}

}
