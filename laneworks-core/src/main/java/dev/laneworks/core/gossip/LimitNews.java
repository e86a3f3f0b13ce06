package dev.laneworks.core.gossip;

import java.util.Objects;
import java.util.OptionalDouble;

import dev.laneworks.core.directory.TargetRun;

/**
 * What a target said last of the requests a second that it takes from all entries
 * together, as one entry tells others.
 *
 * @param target the run of the target that said it
 * @param perSecond the limit, empty where it said that there is none any more
 * @param ageMillis how long ago it said so, in milliseconds
 * @since 0.4
 */
public record LimitNews(TargetRun target, OptionalDouble perSecond, long ageMillis) {

	public LimitNews {
		Objects.requireNonNull(target, "target must not be null");
		Objects.requireNonNull(perSecond, "perSecond must not be null");
		if (ageMillis < 0) {
			throw new IllegalArgumentException("ageMillis must not be negative but is " + ageMillis);
		}
	}

}
