package dev.laneworks.standin.engine;

/**
 * Hears what an engine does in a step.
 *
 * @since 0.1
 */
public interface EngineListener {

	/**
	 * Hear of a token.
	 * @param name the generation's name
	 * @param offset the number of tokens before it
	 * @param atMicros when it was made
	 */
	void onToken(String name, int offset, long atMicros);

	/**
	 * Hear of the end of an output.
	 * @param name the generation's name
	 * @param total the tokens of the whole output
	 * @param byLimit whether the limit ended it
	 * @param atMicros when it ended
	 */
	void onEnd(String name, int total, boolean byLimit, long atMicros);

	/**
	 * Hear that a generation was pushed aside because memory was full.
	 * @param name the generation's name
	 * @param atMicros when
	 */
	void onPreempted(String name, long atMicros);

}
