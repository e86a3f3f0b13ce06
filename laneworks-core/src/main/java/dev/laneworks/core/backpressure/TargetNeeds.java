package dev.laneworks.core.backpressure;

import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What a target says in one answer of what it needs.
 *
 * @param limitPerSecond the requests a second that it takes from all entries together,
 * empty where it names no limit, not a number where what it names can't be read
 * @param restMillis for how long it wants nothing from this entry, in milliseconds, empty
 * where it asks for no rest, negative where what it asks for can't be read
 * @param leaving whether it says that it is leaving
 * @since 0.4
 */
public record TargetNeeds(OptionalDouble limitPerSecond, OptionalLong restMillis, boolean leaving) {

	/** What a target says that needs nothing. */
	public static final TargetNeeds NONE = new TargetNeeds(OptionalDouble.empty(), OptionalLong.empty(), false);

	public TargetNeeds {
		Objects.requireNonNull(limitPerSecond, "limitPerSecond must not be null");
		Objects.requireNonNull(restMillis, "restMillis must not be null");
	}

}
