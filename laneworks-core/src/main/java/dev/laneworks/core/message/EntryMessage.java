package dev.laneworks.core.message;

/**
 * Message from an entry to a sidecar.
 *
 * @since 0.1
 */
public sealed interface EntryMessage {

	/**
	 * Submits a request for execution.
	 *
	 * @param stream the attempt
	 * @param work the request to execute
	 * @param creditLimit the first offset that must not be sent yet
	 */
	record Submit(StreamId stream, SidecarRequest work, long creditLimit) implements EntryMessage {

	}

	/**
	 * Requests the output of a generation from an offset onwards.
	 *
	 * @param stream the attempt
	 * @param generation the generation's name
	 * @param incarnation the incarnation of the sidecar that started the generation
	 * @param offset the first offset to send
	 * @param creditLimit the first offset that must not be sent yet
	 */
	record Attach(StreamId stream, String generation, long incarnation, long offset,
			long creditLimit) implements EntryMessage {

	}

	/**
	 * Revokes an attempt so that it does not run unless it has run already.
	 *
	 * @param stream the attempt
	 * @param attemptName the name of the attempt, as returned by
	 * {@link SidecarRequest#attemptName}
	 * @param generation the name that the attempt's generation would have
	 * @param incarnation the incarnation of the sidecar that the attempt was sent to
	 */
	record Revoke(StreamId stream, String attemptName, String generation, long incarnation) implements EntryMessage {

	}

	/**
	 * Announces that the attempt's output is no longer read.
	 *
	 * @param stream the attempt
	 * @param mayResume whether the caller may resume the output later
	 */
	record Release(StreamId stream, boolean mayResume) implements EntryMessage {

	}

	/**
	 * Grants credit for more output.
	 *
	 * @param stream the attempt
	 * @param creditLimit the first offset that must not be sent yet
	 */
	record Credit(StreamId stream, long creditLimit) implements EntryMessage {

	}

	/**
	 * Requests a load report.
	 */
	record Probe() implements EntryMessage {

	}

	/**
	 * Revokes a key at its former home.
	 *
	 * @param key the key that must not run there any more
	 */
	record RevokeKey(IdempotencyKey key) implements EntryMessage {

	}

}
