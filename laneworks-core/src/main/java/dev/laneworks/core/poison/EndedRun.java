package dev.laneworks.core.poison;

import java.util.Objects;

import dev.laneworks.core.directory.TargetRun;

/**
 * Incarnation of a target that crashed while executing a request.
 *
 * @param run the incarnation of the target
 * @param ageMillis the time since the crash, in milliseconds
 * @since 0.4
 */
public record EndedRun(TargetRun run, long ageMillis) {

	public EndedRun {
		Objects.requireNonNull(run, "run must not be null");
		if (ageMillis < 0) {
			throw new IllegalArgumentException("ageMillis must not be negative");
		}
	}

}
