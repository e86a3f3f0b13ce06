package dev.laneworks.core.gossip;

import java.util.List;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Callbacks through which {@link Gossip} sends updates and reads the state of its entry.
 *
 * @since 0.2
 */
public interface GossipOutputs {

	/**
	 * Send an update to an entry, without a guarantee of delivery.
	 * @param address the address of the entry, {@code IP:PORT}
	 * @param update the load update, complete or partial
	 */
	void send(String address, LoadUpdate update);

	/**
	 * Handle a report of another entry that a target is draining.
	 * @param target the incarnation of the target
	 */
	void targetDraining(TargetIncarnation target);

	/**
	 * Handle back-pressure signals that another entry passes on.
	 * @param signals the signals that it received from targets or from other entries
	 */
	void signalsReceived(BackpressureUpdate signals);

	/**
	 * Return the back-pressure signals of targets to pass on.
	 * @return the latest signals, including those from other entries
	 */
	BackpressureUpdate signals();

	/**
	 * Handle the speeds of targets that another entry reports.
	 * @param work the work in its update
	 * @since 0.4
	 */
	default void speedsReceived(List<WorkAtTarget> work) {
	}

	/**
	 * Return the current work of this entry.
	 * @return its work at each target where it has any
	 */
	List<WorkAtTarget> localWork();

	/**
	 * Return the use of the retry budget by this entry within the window.
	 * @return the use for each service that it received requests for
	 */
	List<RetryBudgetUsage> ownBudgetUsage();

	/**
	 * Return the demand for engine memory that this entry could not serve yet.
	 * @return the demand for each service with queued or returning requests
	 * @since 0.4
	 */
	List<ServiceDemand> localDemand();

}
