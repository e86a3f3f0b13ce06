package dev.laneworks.standin.engine;

/**
 * A request as an engine takes it.
 *
 * @param name the generation's name
 * @param promptTokens the tokens of the prompt
 * @param prefixHash names the beginning of the prompt that may be cached, or 0
 * @param prefixTokens the tokens of that beginning
 * @param priority higher goes first
 * @param length the length of the output
 * @param limit the most tokens that the output may have
 * @since 0.1
 */
public record EngineRequest(String name, int promptTokens, long prefixHash, int prefixTokens, int priority, int length,
		int limit) {

	/**
	 * Return the length that the output will have.
	 * @return tokens, at least 1
	 */
	public int outputLength() {
		return Math.max(1, Math.min(this.length, this.limit));
	}

}
