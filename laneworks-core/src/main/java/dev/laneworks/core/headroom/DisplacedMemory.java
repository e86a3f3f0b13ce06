package dev.laneworks.core.headroom;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Record of the engine memory that had to move when engines of one service left at about
 * the same time. Not thread-safe.
 */
final class DisplacedMemory {

	/** Interval within which departures count as simultaneous. */
	static final long GROUP_MILLIS = 1_000;

	/** Age after which a departure no longer counts. */
	static final long RETENTION_MILLIS = 15_000;

	/** Upper bound of the share, so that one large loss does not stop new starts. */
	static final double MAX_SHARE = 0.35;

	private final Deque<Departure> departures = new ArrayDeque<>();

	private long ungroupedUntil = Long.MIN_VALUE;

	/**
	 * Record that an engine leaves.
	 * @param tokens the memory reserved there by all entries, in tokens
	 * @param stayingTokens the memory of the engines that stay, in tokens
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void record(double tokens, double stayingTokens, long now) {
		removeExpired(now);
		double displaced = tokens + ((now < this.ungroupedUntil) ? 0 : displacedSince(now - GROUP_MILLIS));
		double share = (stayingTokens > 0) ? displaced / stayingTokens : MAX_SHARE;
		this.departures.addLast(new Departure(now, tokens, share));
	}

	/**
	 * Record that the process resumed after a pause. Departures during the pause are
	 * reported together although they happened at different times, so they are not added
	 * up.
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void recordPause(long now) {
		this.ungroupedUntil = now + GROUP_MILLIS;
	}

	/**
	 * Return the largest share of the remaining memory that had to move at once.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the share, from 0 to {@link #MAX_SHARE}; 0 without departures
	 */
	double largestShare(long now) {
		removeExpired(now);
		double largest = this.departures.stream().mapToDouble(Departure::share).max().orElse(0);
		return Math.min(MAX_SHARE, largest);
	}

	private double displacedSince(long start) {
		return this.departures.stream().filter((d) -> d.at() >= start).mapToDouble(Departure::tokens).sum();
	}

	private void removeExpired(long now) {
		while (!this.departures.isEmpty() && now - this.departures.getFirst().at() > RETENTION_MILLIS) {
			this.departures.removeFirst();
		}
	}

	/**
	 * Departure of one engine.
	 *
	 * @param at the time in milliseconds of the monotonic clock
	 * @param tokens the memory that was reserved there
	 * @param share the share of the remaining memory displaced within
	 * {@link #GROUP_MILLIS} up to this departure
	 */
	private record Departure(long at, double tokens, double share) {

	}

}
