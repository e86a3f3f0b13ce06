package dev.laneworks.core.admission;

/**
 * Generation that occupies memory of an engine.
 *
 * @since 0.1
 */
public interface MemoryUser {

	/**
	 * Return the class for the forecast of the output length.
	 * @return the class of the request
	 */
	LengthClass lengthClass();

	/**
	 * Return the length of the prompt.
	 * @return the number of tokens
	 */
	int promptTokens();

	/**
	 * Return the length of the output so far.
	 * @return the number of tokens
	 */
	int outputTokens();

	/**
	 * Return the maximum length of the output.
	 * @return the number of tokens
	 */
	int maxTokens();

}
