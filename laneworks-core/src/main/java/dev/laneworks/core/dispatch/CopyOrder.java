package dev.laneworks.core.dispatch;

import java.util.Objects;

import dev.laneworks.core.directory.ListedTarget;

/**
 * An order to copy a running generation from one engine to another.
 *
 * @param requestId the request that it runs for
 * @param source the engine that runs it
 * @param destination the engine that the copy goes to
 * @param stop whether the run is to stop first, after which it can go on at the copy
 * @since 0.2
 */
public record CopyOrder(String requestId, ListedTarget source, ListedTarget destination, boolean stop) {

	public CopyOrder {
		Objects.requireNonNull(requestId, "requestId must not be null");
		Objects.requireNonNull(source, "source must not be null");
		Objects.requireNonNull(destination, "destination must not be null");
	}

}
