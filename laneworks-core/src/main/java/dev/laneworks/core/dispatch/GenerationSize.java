package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.stream.Collectors;

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

	/** Bounds the length of a log line. */
	private static final int DESCRIBED_PARTS = 8;

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
	 * Return the identifiers of the parts of the prompt.
	 * @return the identifiers in order
	 */
	public List<String> partIds() {
		return this.parts.stream().map(PromptPart::id).toList();
	}

	/**
	 * Describe the parts of the prompt for logs.
	 * @return the identifiers of the first parts and the number of all
	 */
	public String describeParts() {
		String first = partIds().stream().limit(DESCRIBED_PARTS).collect(Collectors.joining(" "));
		return (this.parts.size() > DESCRIBED_PARTS) ? first + " of " + this.parts.size() + " parts" : first;
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
