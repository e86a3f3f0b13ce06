package dev.laneworks.core.gossip;

import java.util.List;
import java.util.Objects;

/**
 * Load update of one entry: its work at targets and its view of other entries.
 *
 * @param instance the name of the entry
 * @param dataCentre the data centre of the entry
 * @param incarnation a random number that identifies the process
 * @param sequence the number of the update, increasing within an incarnation
 * @param shuttingDown whether the entry shuts down, so that no further update follows
 * @param partial whether the update covers only the targets that it names; if {@code
 * false}, the entry has no work at any other target
 * @param nextWithinMillis the longest time until the next update to the same receiver, in
 * milliseconds
 * @param work the work of the entry at targets
 * @param budgetUsage the use of the retry budget in the window, by service
 * @param signals the back-pressure signals that the entry received from targets or other
 * entries
 * @param demand the demand for engine memory that is not served yet, by service
 * @param peers the addresses of other entries that it received updates from recently
 * @since 0.2
 */
public record LoadUpdate(String instance, String dataCentre, long incarnation, long sequence, boolean shuttingDown,
		boolean partial, long nextWithinMillis, List<WorkAtTarget> work, List<RetryBudgetUsage> budgetUsage,
		BackpressureUpdate signals, List<ServiceDemand> demand, List<String> peers) {

	public LoadUpdate {
		Objects.requireNonNull(instance, "instance must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		Objects.requireNonNull(signals, "signals must not be null");
		work = List.copyOf(work);
		budgetUsage = List.copyOf(budgetUsage);
		demand = List.copyOf(demand);
		peers = List.copyOf(peers);
	}

	/**
	 * Create an update of an entry at which no request is queued.
	 * @param instance the name of the entry
	 * @param dataCentre the data centre of the entry
	 * @param incarnation a random number that identifies the process
	 * @param sequence the number of the update
	 * @param shuttingDown whether the entry shuts down
	 * @param partial whether the update covers only the targets that it names
	 * @param nextWithinMillis the longest time until the next update, in milliseconds
	 * @param work the work of the entry at targets
	 * @param budgetUsage the use of the retry budget in the window, by service
	 * @param signals the back-pressure signals
	 * @param peers the addresses of other entries
	 */
	public LoadUpdate(String instance, String dataCentre, long incarnation, long sequence, boolean shuttingDown,
			boolean partial, long nextWithinMillis, List<WorkAtTarget> work, List<RetryBudgetUsage> budgetUsage,
			BackpressureUpdate signals, List<String> peers) {
		this(instance, dataCentre, incarnation, sequence, shuttingDown, partial, nextWithinMillis, work, budgetUsage,
				signals, List.of(), peers);
	}

}
