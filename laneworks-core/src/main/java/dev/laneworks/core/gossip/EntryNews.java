package dev.laneworks.core.gossip;

import java.util.List;
import java.util.Objects;

/**
 * What one entry tells others of its work at targets, as it was when this was made.
 *
 * @param instance the entry's name
 * @param dataCentre the data centre that the entry is in
 * @param incarnation a random number that differs for each of its processes
 * @param sequence the number of this news, rising within an incarnation
 * @param ending whether the entry ends, so that nothing more comes from it
 * @param partial whether the news tell of the targets named alone; if not, the entry has
 * no work at any other
 * @param againMillis the time within which the receiver is told again, in milliseconds
 * @param work its work at targets
 * @param spending what it spent of the retry budget in the window, by service
 * @param needs what targets said that they need, to it or to one that it heard it from
 * @param peers the addresses of other entries that it has heard of lately
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
