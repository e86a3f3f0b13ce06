package dev.laneworks.entry.direct;

import java.time.Duration;
import java.util.function.Consumer;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.CopyOrder;
import dev.laneworks.core.dispatch.CopyResult;
import dev.laneworks.core.inquiry.EngineAnswer;

/**
 * Control commands to engines, apart from the requests that they serve.
 *
 * @since 0.2
 */
public interface EngineCommands {

	/**
	 * Timeout for the answer to a command: a copy may queue behind others.
	 */
	Duration COMMAND_TIMEOUT = Duration.ofSeconds(3);

	/**
	 * Timeout for the answer to a poll, which is repeated soon.
	 */
	Duration POLL_TIMEOUT = Duration.ofMillis(280);

	/**
	 * Send the command to copy a running generation.
	 * @param order the source, the destination and the generation
	 * @param result the consumer of the outcome
	 */
	void copy(CopyOrder order, Consumer<CopyResult> result);

	/**
	 * Send a poll that asks an engine whether it is draining.
	 * @param engine the engine to poll
	 * @param answer the consumer of the answer, which is called in any case
	 */
	void poll(ListedTarget engine, Consumer<EngineAnswer> answer);

	/**
	 * Send the command to discard a copy that is no longer needed.
	 * @param source the engine that made the copy
	 * @param handle the handle of the copy
	 */
	void release(ListedTarget source, String handle);

}
