package dev.laneworks.core.call;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what a {@link CallCoordinator} did since the start; may be read from any thread.
 *
 * @since 0.1
 */
public final class CallCounters {

	private final LongAdder opened = new LongAdder();

	private final LongAdder finished = new LongAdder();

	private final LongAdder refused = new LongAdder();

	private final LongAdder retried = new LongAdder();

	private final LongAdder delivered = new LongAdder();

	private final LongAdder strays = new LongAdder();

	private final LongAdder reattached = new LongAdder();

	/**
	 * Return the calls opened.
	 * @return the counter
	 */
	public LongAdder opened() {
		return this.opened;
	}

	/**
	 * Return the calls whose output was delivered whole.
	 * @return the counter
	 */
	public LongAdder finished() {
		return this.finished;
	}

	/**
	 * Return the calls that got a refusal.
	 * @return the counter
	 */
	public LongAdder refused() {
		return this.refused;
	}

	/**
	 * Return the attempts after the first.
	 * @return the counter
	 */
	public LongAdder retried() {
		return this.retried;
	}

	/**
	 * Return the pieces of output delivered.
	 * @return the counter
	 */
	public LongAdder delivered() {
		return this.delivered;
	}

	/**
	 * Return the messages that came late or crossed another and were dropped.
	 * @return the counter
	 */
	public LongAdder strays() {
		return this.strays;
	}

	/**
	 * Return how often a generation was asked for again.
	 * @return the counter
	 */
	public LongAdder reattached() {
		return this.reattached;
	}

}
