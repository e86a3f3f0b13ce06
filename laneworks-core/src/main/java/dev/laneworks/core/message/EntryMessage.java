package dev.laneworks.core.message;

/**
 * A message from an entry to a sidecar.
 *
 * @since 0.1
 */
public sealed interface EntryMessage {

	/**
	 * Asks to run a request.
	 *
	 * @param stream the attempt
	 * @param work the request
	 * @param creditLimit the first offset that must not be sent yet
	 */
	record Submit(StreamId stream, Work work, long creditLimit) implements EntryMessage {

	}

	/**
	 * Asks for the output of a generation from an offset on.
	 *
	 * @param stream the attempt
	 * @param generation the generation's name
	 * @param incarnation the incarnation of the sidecar that started it
	 * @param offset the first offset wanted
	 * @param creditLimit the first offset that must not be sent yet
	 */
	record Attach(StreamId stream, String generation, long incarnation, long offset,
			long creditLimit) implements EntryMessage {

	}

	/**
	 * Asks to make sure that an attempt does not run if it has not run yet.
	 *
	 * @param stream the attempt
	 * @param attemptName the name of the attempt, as {@link Work#attemptName} gives it
	 * @param generation the name the attempt's generation would have
	 * @param incarnation the incarnation of the sidecar that the attempt was sent to
	 */
	record Bar(StreamId stream, String attemptName, String generation, long incarnation) implements EntryMessage {

	}

	/**
	 * Says that nobody reads the attempt's output any more.
	 *
	 * @param stream the attempt
	 * @param mayReturn whether the caller may come back for the rest
	 */
	record Release(StreamId stream, boolean mayReturn) implements EntryMessage {

	}

	/**
	 * Allows more output.
	 *
	 * @param stream the attempt
	 * @param creditLimit the first offset that must not be sent yet
	 */
	record Credit(StreamId stream, long creditLimit) implements EntryMessage {

	}

	/**
	 * Asks for a load report.
	 */
	record Probe() implements EntryMessage {

	}

	/**
	 * Asks a former home of a key to bar it.
	 *
	 * @param key the key
	 */
	record BarKey(OnceKey key) implements EntryMessage {

	}

}
