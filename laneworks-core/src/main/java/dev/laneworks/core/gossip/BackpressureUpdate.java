package dev.laneworks.core.gossip;

import java.util.List;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Back-pressure signals of targets, as one entry passes them on to others.
 *
 * @param limits the latest rate limits
 * @param draining the incarnations of targets that are draining
 * @since 0.4
 */
public record BackpressureUpdate(List<RateLimitUpdate> limits, List<TargetIncarnation> draining) {

	/** Update without any back-pressure signal. */
	public static final BackpressureUpdate NONE = new BackpressureUpdate(List.of(), List.of());

	public BackpressureUpdate {
		limits = List.copyOf(limits);
		draining = List.copyOf(draining);
	}

}
