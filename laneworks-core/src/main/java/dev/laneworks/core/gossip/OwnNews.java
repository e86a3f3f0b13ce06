package dev.laneworks.core.gossip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.laneworks.core.directory.TargetRun;

/**
 * Writes what this entry tells of its own work, each news with a number of its own.
 */
final class OwnNews {

	private final String instance;

	private final String dataCentre;

	private final long incarnation;

	private final GossipOutputs outputs;

	private long sequence;

	private boolean ending;

	/**
	 * Create the writer of an entry's news.
	 * @param instance the entry's name
	 * @param dataCentre the data centre that it is in
	 * @param incarnation a random number that differs for each process
	 * @param outputs tells of the own work
	 */
	OwnNews(String instance, String dataCentre, long incarnation, GossipOutputs outputs) {
		this.instance = instance;
		this.dataCentre = dataCentre;
		this.incarnation = incarnation;
		this.outputs = outputs;
	}

	// Says in all news from now on that the entry ends.
	void end() {
		this.ending = true;
	}

	boolean isEnding() {
		return this.ending;
	}

	// Whether this process wrote the news.
	boolean isAuthorOf(EntryNews news) {
		return news.incarnation() == this.incarnation;
	}

	/**
	 * Write of the work at all targets.
	 * @param againMillis the time within which the receivers are told again, in
	 * milliseconds
	 * @param heard the addresses of other entries to pass on
	 * @return the news
	 */
	EntryNews ofAllWork(long againMillis, List<String> heard) {
		return write(false, againMillis, this.outputs.ownWork(), heard);
	}

	/**
	 * Write of the work at a few targets alone.
	 * <p>
	 * Such news promise nothing of the next that the last whole ones don't.
	 * @param targets the runs of the targets
	 * @param againMillis the time within which the receivers are told again, in
	 * milliseconds
	 * @return the news; they say of each target without work that there is none
	 */
	EntryNews ofWorkAt(Set<TargetRun> targets, long againMillis) {
		Map<TargetRun, WorkAtTarget> work = new HashMap<>();
		targets.forEach((t) -> work.put(t, WorkAtTarget.none(t)));
		this.outputs.ownWork()
			.stream()
			.filter((w) -> targets.contains(w.target()))
			.forEach((w) -> work.put(w.target(), w));
		return write(true, againMillis, List.copyOf(work.values()), List.of());
	}

	private EntryNews write(boolean isPartial, long againMillis, List<WorkAtTarget> work, List<String> heard) {
		this.sequence++;
		return new EntryNews(this.instance, this.dataCentre, this.incarnation, this.sequence, this.ending, isPartial,
				againMillis, work, this.outputs.ownSpending(), this.outputs.needs(), heard);
	}

}
