package dev.laneworks.core.gossip;

import java.util.List;

import dev.laneworks.core.directory.TargetRun;

/**
 * Back-pressure signals of targets, as one entry passes them on to others.
 *
 * @param limits the latest rate limits
 * @param leaving the incarnations of targets that are draining
 * @since 0.4
 */
public record NeedsNews(List<RateLimitUpdate> limits, List<TargetRun> leaving) {

	/** Update without any back-pressure signal. */
	public static final NeedsNews NONE = new NeedsNews(List.of(), List.of());

	public NeedsNews {
		limits = List.copyOf(limits);
		leaving = List.copyOf(leaving);
	}

}
