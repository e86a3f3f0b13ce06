package dev.laneworks.core.returns;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes the retry times of refused callers so that each finds memory on its return.
 * <p>
 * A caller returns once engines have released the memory for the queued generations, for
 * callers that were given a time earlier, and for its own generation. Not thread-safe.
 *
 * @since 0.4
 */
public final class RetryTimes {

	/** Longest time that is returned, also where no memory is being released. */
	static final long MAX_MILLIS = 60_000;

	/**
	 * Share of the released memory that returning callers are expected to find; new
	 * generations that go first take the rest.
	 */
	private static final double RETURNING_SHARE = 0.5;

	private final Map<String, List<GivenTime>> givenByService = new HashMap<>();

	/**
	 * Return the time at which a refused caller is to return, and record it unless it is
	 * too late for the caller.
	 * @param caller the refused caller
	 * @param outlook the expected release of memory and the demand that precedes it
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the time, with a note if the caller cannot wait for it
	 */
	public RetryTime schedule(RefusedCaller caller, MemoryOutlook outlook, long now) {
		double needed = outlook.neededTokens(caller.tokens()) + returningAhead(caller, outlook, now);
		double expected = Math.min(MAX_MILLIS, needed / Math.max(0, outlook.releasedPerMillisecond()));
		if (expected > caller.honouredMillis()) {
			return new RetryTime((long) Math.ceil(expected), false);
		}
		long millis = (long) Math.min(caller.honouredMillis(), Math.ceil(expected / RETURNING_SHARE));
		pending(caller.service(), now).add(new GivenTime(now + millis, caller.priority(), caller.tokens()));
		return new RetryTime(millis, true);
	}

	/**
	 * Return the number of callers of this entry that are still to return.
	 * @param service the name of the service
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the count, for the report to other entries
	 */
	public int returningRequests(String service, long now) {
		return pending(service, now).size();
	}

	/**
	 * Return the memory that the callers of this entry need which are still to return.
	 * @param service the name of the service
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the number of tokens, for the report to other entries
	 */
	public long returningTokens(String service, long now) {
		return pending(service, now).stream().mapToLong(GivenTime::tokens).sum();
	}

	// The callers of other entries are assumed to have the same priorities as those of
	// this one or, if there are none, as its queue.
	private double returningAhead(RefusedCaller caller, MemoryOutlook outlook, long now) {
		long own = returningTokens(caller.service(), now);
		long ahead = pending(caller.service(), now).stream()
			.filter((g) -> g.priority() <= caller.priority())
			.mapToLong(GivenTime::tokens)
			.sum();
		double share = (own > 0) ? (double) ahead / own : 1;
		return ahead + share * outlook.others().returningTokens();
	}

	private List<GivenTime> pending(String service, long now) {
		List<GivenTime> given = this.givenByService.computeIfAbsent(service, (s) -> new ArrayList<>());
		given.removeIf((g) -> g.at() <= now);
		return given;
	}

	/**
	 * Retry time that was given to a caller.
	 *
	 * @param at the time in milliseconds of the monotonic clock
	 * @param priority the priority of its generation
	 * @param tokens the memory that its generation needs
	 */
	private record GivenTime(long at, int priority, long tokens) {

	}

}
