package dev.laneworks.core.admission;

/**
 * A generation as far as an engine's memory is concerned.
 *
 * @since 0.1
 */
public interface MemoryUser {

	/**
	 * Return the class that its length is learned by.
	 * @return the class
	 */
	LengthClass lengthClass();

	/**
	 * Return the tokens of its prompt.
	 * @return the count
	 */
	int promptTokens();

	/**
	 * Return the tokens of its output so far.
	 * @return the count
	 */
	int outputTokens();

	/**
	 * Return the most tokens its output may have.
	 * @return the count
	 */
	int maxTokens();

}
