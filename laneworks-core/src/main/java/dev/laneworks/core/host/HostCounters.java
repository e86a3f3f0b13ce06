package dev.laneworks.core.host;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what a {@link GenerationHost} did since the start; may be read from any thread.
 *
 * @since 0.1
 */
public final class HostCounters {

	private final LongAdder admitted = new LongAdder();

	private final LongAdder refused = new LongAdder();

	private final LongAdder tokens = new LongAdder();

	private final LongAdder yields = new LongAdder();

	private final LongAdder cancelled = new LongAdder();

	private final LongAdder duplicates = new LongAdder();

	private final LongAdder gaps = new LongAdder();

	private final LongAdder pauses = new LongAdder();

	/**
	 * Return the requests handed to the target.
	 * @return the counter
	 */
	public LongAdder admitted() {
		return this.admitted;
	}

	/**
	 * Return the requests refused, and generations that ended early.
	 * @return the counter
	 */
	public LongAdder refused() {
		return this.refused;
	}

	/**
	 * Return the pieces of output received from the target.
	 * @return the counter
	 */
	public LongAdder tokens() {
		return this.tokens;
	}

	/**
	 * Return the generations set aside to free memory.
	 * @return the counter
	 */
	public LongAdder yields() {
		return this.yields;
	}

	/**
	 * Return the generations cancelled for want of a reader.
	 * @return the counter
	 */
	public LongAdder cancelled() {
		return this.cancelled;
	}

	/**
	 * Return the pieces of output that came twice and were dropped.
	 * @return the counter
	 */
	public LongAdder duplicates() {
		return this.duplicates;
	}

	/**
	 * Return the gaps found in a target's output and mended.
	 * @return the counter
	 */
	public LongAdder gaps() {
		return this.gaps;
	}

	/**
	 * Return how often the process was paused.
	 * @return the counter
	 */
	public LongAdder pauses() {
		return this.pauses;
	}

}
