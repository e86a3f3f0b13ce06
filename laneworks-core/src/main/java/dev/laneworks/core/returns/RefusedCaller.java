package dev.laneworks.core.returns;

import java.util.Objects;

/**
 * Caller whose generation is refused because no engine has memory for it in time.
 *
 * @param service the name of the service
 * @param priority the priority of the generation, 0 being the highest
 * @param tokens the memory that the generation needs, in tokens
 * @param leftMillis the time after which the caller stops waiting, in milliseconds
 * @since 0.4
 */
public record RefusedCaller(String service, int priority, long tokens, long leftMillis) {

	/** Share of its remaining time up to which a caller honours a retry time. */
	private static final double HONOURED_SHARE = 1.0 / 3;

	public RefusedCaller {
		Objects.requireNonNull(service, "service must not be null");
	}

	// The latest retry time that the caller honours, in milliseconds from now.
	long honouredMillis() {
		return (long) (HONOURED_SHARE * Math.max(0, this.leftMillis));
	}

}
