package dev.laneworks.core.message;

import dev.laneworks.core.verdict.Refusal;

/**
 * A message from a sidecar to an entry.
 *
 * @since 0.1
 */
public sealed interface SidecarMessage {

	/**
	 * A message about one attempt.
	 */
	sealed interface OfStream extends SidecarMessage {

		/**
		 * Return the attempt that the message is about.
		 * @return the attempt
		 */
		StreamId stream();

	}

	/**
	 * Says that the sidecar took the attempt on.
	 *
	 * @param stream the attempt
	 * @param generation the generation's name
	 * @param queued the number of requests ahead of it
	 */
	record Accepted(StreamId stream, String generation, int queued) implements OfStream {

	}

	/**
	 * Carries one piece of output.
	 *
	 * @param stream the attempt
	 * @param offset the number of pieces before it
	 * @param data the output; not copied, must not be changed
	 */
	record Chunk(StreamId stream, long offset, byte[] data) implements OfStream {

	}

	/**
	 * Says that the output is whole.
	 *
	 * @param stream the attempt
	 * @param total the number of pieces of the whole output
	 * @param reason why the output ended
	 */
	record End(StreamId stream, long total, FinishReason reason) implements OfStream {

	}

	/**
	 * Says that there is no output, or no more of it.
	 *
	 * @param stream the attempt
	 * @param refusal the final answer
	 */
	record Refused(StreamId stream, Refusal refusal) implements OfStream {

	}

	/**
	 * Answers {@link EntryMessage.Bar}.
	 *
	 * @param stream the attempt
	 * @param outcome whether the attempt can still run
	 */
	record BarResult(StreamId stream, BarOutcome outcome) implements OfStream {

	}

	/**
	 * Reports load; sent on request, and unasked when the target starts to leave.
	 *
	 * @param report the load
	 */
	record Load(LoadReport report) implements SidecarMessage {

	}

	/**
	 * Says that the sidecar ends: what it did not answer before on this link it has not
	 * read and never will.
	 */
	record Farewell() implements SidecarMessage {

	}

	/**
	 * Answers {@link EntryMessage.BarKey}.
	 *
	 * @param key the key
	 * @param outcome whether the key can still run here
	 */
	record KeyBarResult(OnceKey key, BarOutcome outcome) implements SidecarMessage {

	}

}
