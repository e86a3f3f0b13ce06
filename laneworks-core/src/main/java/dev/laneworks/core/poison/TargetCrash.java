package dev.laneworks.core.poison;

import java.util.Objects;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Incarnation of a target that crashed while executing a request.
 *
 * @param incarnation the incarnation of the target
 * @param ageMillis the time since the crash, in milliseconds
 * @since 0.4
 */
public record TargetCrash(TargetIncarnation incarnation, long ageMillis) {

	public TargetCrash {
		Objects.requireNonNull(incarnation, "incarnation must not be null");
		if (ageMillis < 0) {
			throw new IllegalArgumentException("ageMillis must not be negative");
		}
	}

}
