package dev.laneworks.core.gossip;

import java.util.List;

import dev.laneworks.core.directory.TargetRun;

/**
 * What targets said in their answers that they need, as one entry tells others.
 *
 * @param limits what they said last of the requests that they take
 * @param leaving the runs of targets that said that they are leaving
 * @since 0.4
 */
public record NeedsNews(List<LimitNews> limits, List<TargetRun> leaving) {

	/** What is told where no target needs anything. */
	public static final NeedsNews NONE = new NeedsNews(List.of(), List.of());

	public NeedsNews {
		limits = List.copyOf(limits);
		leaving = List.copyOf(leaving);
	}

}
