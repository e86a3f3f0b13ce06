package dev.laneworks.core.dispatch;

/**
 * End of the body of an answer, as its framing shows it.
 *
 * @param closeDelimited whether the body ended with its connection; {@code false} if its
 * length or its last chunk marked the end
 * @param trailingBytes the number of bytes after the last complete event of a stream; 0
 * for a body that is no stream
 * @since 0.8
 */
public record AnswerEnd(boolean closeDelimited, int trailingBytes) {

	/** The end of a body that its length or its last chunk marked, after an event. */
	public static final AnswerEnd MARKED = new AnswerEnd(false, 0);

	public AnswerEnd {
		if (trailingBytes < 0) {
			throw new IllegalArgumentException("trailingBytes must not be negative");
		}
	}

	/**
	 * Determine whether the target broke the answer off, as it did with a stream that
	 * ends inside an event.
	 * @return {@code false} if the answer may be complete
	 */
	public boolean isBrokenOff() {
		return this.trailingBytes > 0;
	}

	/**
	 * Describe the end for logs.
	 * @return a phrase without the subject
	 */
	public String describe() {
		return (this.closeDelimited ? "ended with its connection" : "ended by its framing")
				+ ((this.trailingBytes > 0) ? ", " + this.trailingBytes + " bytes after the last event" : "");
	}

}
