package dev.laneworks.core.dispatch;

import java.util.Objects;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Order to copy an executing generation from one engine to another.
 *
 * @param requestId the id of the request that is executed
 * @param source the engine that executes it
 * @param destination the engine that receives the copy
 * @param stopFirst whether the execution stops before the copy, so that it can resume at
 * the destination
 * @since 0.2
 */
public record CopyOrder(String requestId, ListedTarget source, ListedTarget destination, boolean stopFirst) {

	public CopyOrder {
		Objects.requireNonNull(requestId, "requestId must not be null");
		Objects.requireNonNull(source, "source must not be null");
		Objects.requireNonNull(destination, "destination must not be null");
	}

}
