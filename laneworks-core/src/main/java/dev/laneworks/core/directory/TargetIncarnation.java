package dev.laneworks.core.directory;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * One incarnation of a target, from its start to its end.
 * <p>
 * A target may restart under the same id. A new incarnation has none of the former one's
 * state, so state recorded for a target always belongs to one incarnation. The start time
 * distinguishes incarnations but does not order them, since a machine's clock may be set
 * back between two starts.
 *
 * @param id the target's id
 * @param startMillis the start time in milliseconds of the target's own clock; empty if
 * it is not known
 * @since 0.3
 */
public record TargetIncarnation(String id, OptionalLong startMillis) {

	public TargetIncarnation {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(startMillis, "startMillis must not be null");
	}

	/**
	 * Create the incarnation of a target that does not report its start time.
	 * @param id the target's id
	 * @return the incarnation
	 */
	public static TargetIncarnation of(String id) {
		return new TargetIncarnation(id, OptionalLong.empty());
	}

	/**
	 * Create the incarnation of a target that reports its start time.
	 * @param id the target's id
	 * @param startMillis the start time in milliseconds of the target's own clock
	 * @return the incarnation
	 */
	public static TargetIncarnation of(String id, long startMillis) {
		return new TargetIncarnation(id, OptionalLong.of(startMillis));
	}

}
