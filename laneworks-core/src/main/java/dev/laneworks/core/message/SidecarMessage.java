package dev.laneworks.core.message;

import dev.laneworks.core.verdict.Refusal;

/**
 * Message from a sidecar to an entry.
 *
 * @since 0.1
 */
public sealed interface SidecarMessage {

	/**
	 * Message about one attempt.
	 */
	sealed interface StreamMessage extends SidecarMessage {

		/**
		 * Return the attempt that the message is about.
		 * @return the call and the attempt, as the entry numbers them
		 */
		StreamId stream();

	}

	/**
	 * Announces that the sidecar accepted the attempt.
	 *
	 * @param stream the attempt
	 * @param generation the generation's name
	 * @param queued the number of requests ahead of it in the queue
	 */
	record Accepted(StreamId stream, String generation, int queued) implements StreamMessage {

	}

	/**
	 * Carries one chunk of output.
	 *
	 * @param stream the attempt
	 * @param offset the number of chunks before this one
	 * @param data the bytes of the chunk; not copied, must not be modified
	 */
	record Chunk(StreamId stream, long offset, byte[] data) implements StreamMessage {

	}

	/**
	 * Completes the output.
	 *
	 * @param stream the attempt
	 * @param total the number of chunks of the complete output
	 * @param reason why the output ended
	 */
	record End(StreamId stream, long total, FinishReason reason) implements StreamMessage {

	}

	/**
	 * Announces that there is no output or no further output.
	 *
	 * @param stream the attempt
	 * @param refusal the final answer
	 */
	record Refused(StreamId stream, Refusal refusal) implements StreamMessage {

	}

	/**
	 * Answers {@link EntryMessage.Revoke}.
	 *
	 * @param stream the attempt
	 * @param outcome the result of the revocation
	 */
	record RevokeResult(StreamId stream, RevocationOutcome outcome) implements StreamMessage {

	}

	/**
	 * Reports load; sent on request, and unsolicited when the target starts draining.
	 *
	 * @param report the load of the sidecar's target
	 */
	record Load(LoadReport report) implements SidecarMessage {

	}

	/**
	 * Announces the shutdown of the sidecar. Messages that it has not answered on this
	 * link were not read and will not be read.
	 */
	record Shutdown() implements SidecarMessage {

	}

	/**
	 * Answers {@link EntryMessage.RevokeKey}.
	 *
	 * @param key the revoked key
	 * @param outcome the result of the revocation
	 */
	record KeyRevokeResult(IdempotencyKey key, RevocationOutcome outcome) implements SidecarMessage {

	}

}
