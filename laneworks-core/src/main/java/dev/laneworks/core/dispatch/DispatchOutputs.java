package dev.laneworks.core.dispatch;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.verdict.Refusal;

/**
 * Receiver of the actions that a {@link Dispatcher} orders.
 * <p>
 * An implementation must not call the dispatcher from within these methods.
 *
 * @since 0.2
 */
public interface DispatchOutputs {

	/**
	 * Connect to a target and send it a request. {@link Dispatcher#readyToSend} must be
	 * called before the first byte is sent.
	 * @param call the number of the call
	 * @param attempt the number of the attempt
	 * @param target the target to send to
	 * @param parameters the parameters of the request at the target
	 */
	void send(long call, int attempt, ListedTarget target, SendParameters parameters);

	/**
	 * Close the connection of an attempt, which frees its slot at the target.
	 * @param call the number of the call
	 * @param attempt the number of the attempt
	 */
	void abandon(long call, int attempt);

	/**
	 * Forward the complete answer of a target unchanged.
	 * @param call the number of the call
	 * @param attempt the number of the attempt that received the answer
	 */
	void deliver(long call, int attempt);

	/**
	 * Start the answer as a stream, with the head of an attempt's answer.
	 * @param call the number of the call
	 * @param attempt the number of the attempt that received the head
	 */
	void startStream(long call, int attempt);

	/**
	 * End a stream whose events have all been forwarded.
	 * @param call the number of the call
	 */
	void endStream(long call);

	/**
	 * Break off a stream in such a way that the caller detects that it is incomplete.
	 * @param call the number of the call
	 */
	void cutStream(long call);

	/**
	 * Answer with a refusal.
	 * @param call the number of the call
	 * @param refusal the reason and the verdict to return
	 */
	void refuse(long call, Refusal refusal);

	/**
	 * Request an engine to copy an executing generation to another engine. The result
	 * goes to {@link Dispatcher#copied}.
	 * @param call the number of the call
	 * @param order the generation, its source and its destination
	 */
	void copy(long call, CopyOrder order);

	/**
	 * Probe whether a target accepts connections. The result goes to
	 * {@link Dispatcher#probed}.
	 * @param target the target to probe
	 * @param probe the probe, to be named with its result
	 */
	void probe(ListedTarget target, Probe probe);

	/**
	 * Request the identity of the process at the target of an attempt whose answer has
	 * ended. An answer goes to {@link Dispatcher#identified}, a refused connection to
	 * {@link Dispatcher#probed}.
	 * @param call the number of the call
	 * @param attempt the number of the attempt
	 * @param probe the probe, to be named with its result
	 * @since 0.9
	 */
	void identify(long call, int attempt, Probe probe);

	/**
	 * Notify engines that a copy is no longer needed.
	 * @param source the engine that made the copy
	 * @param handle the handle of the copy
	 */
	void releaseCopy(ListedTarget source, String handle);

}
