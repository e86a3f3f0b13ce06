package dev.laneworks.core.call;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of a {@link CallCoordinator} since its start. May be read by any thread.
 *
 * @since 0.1
 */
public final class CallCounters {

	private final LongAdder opened = new LongAdder();

	private final LongAdder finished = new LongAdder();

	private final LongAdder refused = new LongAdder();

	private final LongAdder retried = new LongAdder();

	private final LongAdder delivered = new LongAdder();

	private final LongAdder droppedMessages = new LongAdder();

	private final LongAdder reattached = new LongAdder();

	/**
	 * Return the counter of opened calls.
	 * @return a live counter
	 */
	public LongAdder opened() {
		return this.opened;
	}

	/**
	 * Return the counter of calls whose output was delivered completely.
	 * @return a live counter
	 */
	public LongAdder finished() {
		return this.finished;
	}

	/**
	 * Return the counter of refused calls.
	 * @return a live counter
	 */
	public LongAdder refused() {
		return this.refused;
	}

	/**
	 * Return the counter of attempts after the first one of a call.
	 * @return a live counter
	 */
	public LongAdder retried() {
		return this.retried;
	}

	/**
	 * Return the counter of output chunks delivered to callers.
	 * @return a live counter
	 */
	public LongAdder delivered() {
		return this.delivered;
	}

	/**
	 * Return the counter of messages dropped because they were stale, duplicate or out of
	 * order.
	 * @return a live counter
	 */
	public LongAdder droppedMessages() {
		return this.droppedMessages;
	}

	/**
	 * Return the counter of reattachments to a generation.
	 * @return a live counter
	 */
	public LongAdder reattached() {
		return this.reattached;
	}

}
