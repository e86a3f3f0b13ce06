package dev.laneworks.standin.engine;

/**
 * Listener for the events that an {@link EngineModel} produces while it executes a step.
 *
 * @since 0.1
 */
public interface EngineListener {

	/**
	 * Handle a generated token.
	 * @param name the generation's name
	 * @param offset the token's position in the output, from 0
	 * @param atMicros the time in microseconds at which it was generated
	 */
	void onToken(String name, int offset, long atMicros);

	/**
	 * Handle the end of an output.
	 * @param name the generation's name
	 * @param tokenCount the number of tokens in the output
	 * @param limitReached {@code true} if the output was cut at the request's token limit
	 * @param atMicros the time in microseconds at which it ended
	 */
	void onEnd(String name, int tokenCount, boolean limitReached, long atMicros);

	/**
	 * Handle the preemption of a generation because memory was full.
	 * @param name the generation's name
	 * @param atMicros the time in microseconds at which it was preempted
	 */
	void onPreempted(String name, long atMicros);

}
