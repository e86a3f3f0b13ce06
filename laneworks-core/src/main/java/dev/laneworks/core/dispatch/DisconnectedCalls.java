package dev.laneworks.core.dispatch;

/**
 * Counts and describes the calls whose callers disconnected before the final answer.
 * <p>
 * Written by one thread; the counts may be read by any thread.
 *
 * @since 0.5
 */
public final class DisconnectedCalls {

	private volatile long notSent;

	private volatile long atTarget;

	/**
	 * Return the number of calls whose request had not been sent to a target.
	 * @return the count since the start
	 */
	public long notSent() {
		return this.notSent;
	}

	/**
	 * Return the number of calls whose request had been sent to a target.
	 * @return the count since the start
	 */
	public long atTarget() {
		return this.atTarget;
	}

	// Counts a call before its attempts are abandoned; returns the cause for the audit
	// log.
	String record(DirectCall call, long now) {
		String cause = "the caller disconnected after " + (now - call.openedAt()) + " ms";
		if (call.timesSent() == 0) {
			this.notSent++;
			return cause + ", before the request was sent";
		}
		this.atTarget++;
		return cause + call.attempt()
			.filter(Attempt::isSent)
			.map((a) -> describe(call, a, now))
			.orElse(", between attempts");
	}

	private static String describe(DirectCall call, Attempt attempt, long now) {
		String sent = ", " + (now - attempt.sentAt()) + " ms after attempt " + attempt.number() + " was sent";
		return call.isStreaming() ? sent + ", after event " + call.lastEvent() : sent;
	}

}
