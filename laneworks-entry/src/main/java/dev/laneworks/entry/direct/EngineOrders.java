package dev.laneworks.entry.direct;

import java.time.Duration;
import java.util.function.Consumer;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.CopyOrder;
import dev.laneworks.core.dispatch.CopyResult;
import dev.laneworks.core.inquiry.EngineAnswer;

/**
 * Gives orders to engines, besides the requests that they serve.
 *
 * @since 0.2
 */
public interface EngineOrders {

	/**
	 * How long an engine's answer to an order is waited for: a copy queues behind others
	 * on its links, and an engine that is taken away lives for about two seconds.
	 */
	Duration LIMIT = Duration.ofSeconds(3);

	/**
	 * How long the answer to a question is waited for; engines answer within 10 ms, and
	 * the next question follows soon.
	 */
	Duration ASK_LIMIT = Duration.ofMillis(280);

	/**
	 * Order a copy of a running generation.
	 * @param order the order
	 * @param result takes how it ended
	 */
	void copy(CopyOrder order, Consumer<CopyResult> result);

	/**
	 * Ask an engine whether it is leaving.
	 * @param engine the engine
	 * @param answer takes its answer, in any case
	 */
	void ask(ListedTarget engine, Consumer<EngineAnswer> answer);

	/**
	 * Tell an engine that a copy is not needed any more.
	 * @param source the engine that made it
	 * @param handle its name
	 */
	void release(ListedTarget source, String handle);

}
