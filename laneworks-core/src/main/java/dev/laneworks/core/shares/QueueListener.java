package dev.laneworks.core.shares;

/**
 * Callback for changes of the engine memory that queued generations of a client account
 * wait for.
 *
 * @since 0.4
 */
@FunctionalInterface
public interface QueueListener {

	/** Ignores all changes. */
	QueueListener NONE = (service, account, change) -> {
	};

	/**
	 * Handle a generation that was queued or left the queue.
	 * @param service the name of the service
	 * @param account the name of the client account
	 * @param change the memory that it needs, in tokens; negative if it left the queue
	 */
	void queueChanged(String service, String account, long change);

}
