package dev.laneworks.core.directory;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * One run of a target, from its start to its end: its incarnation.
 * <p>
 * A target may start again under the id that it had. Another run holds and knows nothing
 * of the one before it, so that whatever is believed of a target is believed of one run.
 * The start time tells runs apart and does not order them, since a machine's time of day
 * may step back between two starts.
 *
 * @param id the target's id
 * @param startMillis when the run started, in milliseconds of the target's own time of
 * day; empty where that is not known
 * @since 0.3
 */
public record TargetRun(String id, OptionalLong startMillis) {

	public TargetRun {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(startMillis, "startMillis must not be null");
	}

	/**
	 * Return the run of a target that does not tell when it started.
	 * @param id the target's id
	 * @return the run
	 */
	public static TargetRun of(String id) {
		return new TargetRun(id, OptionalLong.empty());
	}

	/**
	 * Return the run of a target that tells when it started.
	 * @param id the target's id
	 * @param startMillis when it started, in milliseconds of its own time of day
	 * @return the run
	 */
	public static TargetRun of(String id, long startMillis) {
		return new TargetRun(id, OptionalLong.of(startMillis));
	}

}
