package dev.laneworks.core.gossip;

import java.util.Objects;
import java.util.OptionalDouble;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Latest rate limit of a target, as one entry passes it on to others.
 *
 * @param target the incarnation of the target
 * @param perSecond the requests per second that the target accepts from all entries
 * together; empty if it lifted its limit
 * @param ageMillis the time since the target reported it, in milliseconds
 * @since 0.4
 */
public record RateLimitUpdate(TargetIncarnation target, OptionalDouble perSecond, long ageMillis) {

	public RateLimitUpdate {
		Objects.requireNonNull(target, "target must not be null");
		Objects.requireNonNull(perSecond, "perSecond must not be null");
		if (ageMillis < 0) {
			throw new IllegalArgumentException("ageMillis must not be negative but is " + ageMillis);
		}
	}

}
