package dev.laneworks.core.dispatch;

import java.util.Objects;
import java.util.Set;

import dev.laneworks.core.serving.AllowedRegions;

/**
 * Filter that selects the targets to which a request may be sent.
 *
 * @param service the service that serves the request
 * @param regions the regions in which the request may be served
 * @param excludedIds the ids of targets to exclude; may change while the filter is in use
 * @since 0.3
 */
public record CandidateFilter(String service, AllowedRegions regions, Set<String> excludedIds) {

	public CandidateFilter {
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(regions, "regions must not be null");
		Objects.requireNonNull(excludedIds, "excludedIds must not be null");
	}

}
