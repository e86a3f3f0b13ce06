package dev.laneworks.core.host;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of a {@link GenerationHost} since its start. May be read from any thread.
 *
 * @since 0.1
 */
public final class HostCounters {

	private final LongAdder admitted = new LongAdder();

	private final LongAdder refused = new LongAdder();

	private final LongAdder chunks = new LongAdder();

	private final LongAdder preemptions = new LongAdder();

	private final LongAdder cancelled = new LongAdder();

	private final LongAdder duplicates = new LongAdder();

	private final LongAdder gaps = new LongAdder();

	private final LongAdder pauses = new LongAdder();

	/**
	 * Return the number of requests started at the target.
	 * @return the counter of first starts, without resumptions
	 */
	public LongAdder admitted() {
		return this.admitted;
	}

	/**
	 * Return the number of refused requests and failed generations.
	 * @return the counter of refusals and failures
	 */
	public LongAdder refused() {
		return this.refused;
	}

	/**
	 * Return the number of output chunks received from the target.
	 * @return the counter of chunks, without duplicates
	 */
	public LongAdder chunks() {
		return this.chunks;
	}

	/**
	 * Return the number of generations preempted to free memory.
	 * @return the counter of preemptions
	 */
	public LongAdder preemptions() {
		return this.preemptions;
	}

	/**
	 * Return the number of generations cancelled because they had no reader.
	 * @return the counter of cancellations
	 */
	public LongAdder cancelled() {
		return this.cancelled;
	}

	/**
	 * Return the number of output chunks that arrived again and were dropped.
	 * @return the counter of duplicates
	 */
	public LongAdder duplicates() {
		return this.duplicates;
	}

	/**
	 * Return the number of gaps in the output of the target that were requested again.
	 * @return the counter of gaps
	 */
	public LongAdder gaps() {
		return this.gaps;
	}

	/**
	 * Return the number of detected process pauses.
	 * @return the counter of pauses
	 */
	public LongAdder pauses() {
		return this.pauses;
	}

}
