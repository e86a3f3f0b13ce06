package dev.laneworks.core.backpressure;

import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Back-pressure signals in one response of a target.
 *
 * @param limitPerSecond the requests per second that the target accepts from all entries
 * together; empty if the response has no limit, not a number if it cannot be parsed
 * @param backoffMillis the backoff that the target requests from this entry, in
 * milliseconds; empty if the response has none, negative if it cannot be parsed
 * @param draining whether the target reports that it is draining
 * @since 0.4
 */
public record BackpressureSignals(OptionalDouble limitPerSecond, OptionalLong backoffMillis, boolean draining) {

	/** Response without any back-pressure signal. */
	public static final BackpressureSignals NONE = new BackpressureSignals(OptionalDouble.empty(), OptionalLong.empty(),
			false);

	public BackpressureSignals {
		Objects.requireNonNull(limitPerSecond, "limitPerSecond must not be null");
		Objects.requireNonNull(backoffMillis, "backoffMillis must not be null");
	}

}
