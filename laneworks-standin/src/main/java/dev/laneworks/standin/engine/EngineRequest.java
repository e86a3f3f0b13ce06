package dev.laneworks.standin.engine;

/**
 * Request to an engine.
 *
 * @param name the generation's name
 * @param promptTokens the number of tokens in the prompt
 * @param prefixHash the hash of the prompt's cacheable prefix, or 0 if it has none
 * @param prefixTokens the number of tokens in that prefix
 * @param priority the priority; higher values are scheduled first
 * @param naturalLength the number of tokens that the output has if it is not limited
 * @param maxTokens the maximum number of tokens in the output
 * @since 0.1
 */
public record EngineRequest(String name, int promptTokens, long prefixHash, int prefixTokens, int priority,
		int naturalLength, int maxTokens) {

	/**
	 * Return the length of the output with the limit applied.
	 * @return the number of tokens, at least 1
	 */
	public int outputLength() {
		return Math.max(1, Math.min(this.naturalLength, this.maxTokens));
	}

}
