package dev.laneworks.core.gossip;

import java.util.List;
import java.util.Objects;

/**
 * Load update of one entry: its work at targets and what it knows of other entries.
 *
 * @param instance the name of the entry
 * @param dataCentre the data centre of the entry
 * @param incarnation a random number that identifies the process
 * @param sequence the number of the update, increasing within an incarnation
 * @param ending whether the entry shuts down, so that no further update follows
 * @param partial whether the update covers only the targets that it names; if {@code
 * false}, the entry has no work at any other target
 * @param againMillis the longest time until the next update to the same receiver, in
 * milliseconds
 * @param work the work of the entry at targets
 * @param spending the use of the retry budget in the window, by service
 * @param needs the back-pressure signals that the entry received from targets or other
 * entries
 * @param peers the addresses of other entries that it received updates from recently
 * @since 0.2
 */
public record EntryNews(String instance, String dataCentre, long incarnation, long sequence, boolean ending,
		boolean partial, long againMillis, List<WorkAtTarget> work, List<ServiceSpending> spending, NeedsNews needs,
		List<String> peers) {

	public EntryNews {
		Objects.requireNonNull(instance, "instance must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		Objects.requireNonNull(needs, "needs must not be null");
		work = List.copyOf(work);
		spending = List.copyOf(spending);
		peers = List.copyOf(peers);
	}

}
