package dev.laneworks.core.backpressure;

import java.util.HashMap;
import java.util.Map;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Backoff periods that targets requested from this entry when they rejected a request.
 * <p>
 * A period applies to this entry only, and continues while the target is not listed. Not
 * thread-safe.
 */
final class TargetBackoffs {

	/** The longest valid period, in milliseconds. */
	private static final long MAX_MILLIS = 3_600_000;

	/**
	 * The generations that may return to a target within one period because they can
	 * resume nowhere else.
	 */
	private static final int MAX_RETURNS = 1;

	private final Map<TargetIncarnation, Period> byIncarnation = new HashMap<>();

	/**
	 * Determine whether the length of a period is valid.
	 * @param millis the length in milliseconds
	 * @return {@code false} if it is negative or above the longest valid length
	 */
	static boolean isValid(long millis) {
		return millis >= 0 && millis <= MAX_MILLIS;
	}

	/**
	 * Record that a target requested a backoff. Of two periods, the one that ends later
	 * applies.
	 * @param target the incarnation of the target
	 * @param millis the length in milliseconds, which must be valid
	 * @param now the current time in milliseconds
	 */
	void recordBackoff(TargetIncarnation target, long millis, long now) {
		removeExpired(now);
		Period period = this.byIncarnation.computeIfAbsent(target, (incarnation) -> new Period());
		period.endsAt = Math.max(period.endsAt, now + millis);
	}

	/**
	 * Return the remaining backoff of a target.
	 * @param target the incarnation of the target
	 * @param now the current time in milliseconds
	 * @return milliseconds; 0 if there is none
	 */
	long remainingMillis(TargetIncarnation target, long now) {
		Period period = this.byIncarnation.get(target);
		return (period != null) ? Math.max(0, period.endsAt - now) : 0;
	}

	/**
	 * Determine whether a generation may return to a target where it was before.
	 * @param target the incarnation of the target
	 * @param now the current time in milliseconds
	 * @return {@code false} if the limit of returns within the current period is reached
	 */
	boolean allowsReturn(TargetIncarnation target, long now) {
		return remainingMillis(target, now) == 0 || this.byIncarnation.get(target).returns < MAX_RETURNS;
	}

	// Counts a request that is sent despite the backoff.
	void recordSent(TargetIncarnation target, long now) {
		if (remainingMillis(target, now) > 0) {
			this.byIncarnation.get(target).returns++;
		}
	}

	boolean isEmpty() {
		return this.byIncarnation.isEmpty();
	}

	int count(long now) {
		removeExpired(now);
		return this.byIncarnation.size();
	}

	private void removeExpired(long now) {
		this.byIncarnation.values().removeIf((r) -> r.endsAt <= now);
	}

	private static final class Period {

		private long endsAt;

		private int returns;

	}

}
