package dev.laneworks.core.gossip;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What one entry tells others: all its work at targets, as it was when this was made.
 *
 * @param instance the entry's name
 * @param incarnation a random number that differs for each of its processes
 * @param sequence the number of this news, rising within an incarnation
 * @param ending whether the entry ends, so that nothing more comes from it
 * @param work its work at targets
 * @param spending what it spent of the retry budget in the window, by service
 * @param peers the addresses of other entries that it has heard of lately
 * @since 0.2
 */
public record EntryNews(String instance, long incarnation, long sequence, boolean ending, List<WorkAtTarget> work,
		List<ServiceSpending> spending, List<String> peers) {

	public EntryNews {
		Objects.requireNonNull(instance, "instance must not be null");
		work = List.copyOf(work);
		spending = List.copyOf(spending);
		peers = List.copyOf(peers);
	}

	/**
	 * Return the entry's work at a target.
	 * @param target the target's id
	 * @return the work, or empty if it has none there
	 */
	public Optional<WorkAtTarget> at(String target) {
		return this.work.stream().filter((w) -> w.target().equals(target)).findFirst();
	}

}
