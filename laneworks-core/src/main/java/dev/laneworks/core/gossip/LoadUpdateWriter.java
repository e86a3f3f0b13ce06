package dev.laneworks.core.gossip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Builds the load updates of this entry and numbers them.
 */
final class LoadUpdateWriter {

	private final String instance;

	private final String dataCentre;

	private final long incarnation;

	private final GossipOutputs outputs;

	private long sequence;

	private boolean shuttingDown;

	/**
	 * Create a writer.
	 * @param instance the name of the entry
	 * @param dataCentre the data centre of the entry
	 * @param incarnation a random number that identifies the process
	 * @param outputs supplies the work of the entry
	 */
	LoadUpdateWriter(String instance, String dataCentre, long incarnation, GossipOutputs outputs) {
		this.instance = instance;
		this.dataCentre = dataCentre;
		this.incarnation = incarnation;
		this.outputs = outputs;
	}

	// Marks all further updates as those of an entry that shuts down.
	void end() {
		this.shuttingDown = true;
	}

	boolean isEnding() {
		return this.shuttingDown;
	}

	boolean isFromThisProcess(LoadUpdate update) {
		return update.incarnation() == this.incarnation;
	}

	/**
	 * Build an update with the work at all targets.
	 * @param nextWithinMillis the longest time until the next update to the same
	 * receivers, in milliseconds
	 * @param peers the addresses of other entries to pass on
	 * @return an update with the next sequence number
	 */
	LoadUpdate ofAllWork(long nextWithinMillis, List<String> peers) {
		return build(false, nextWithinMillis, this.outputs.localWork(), peers);
	}

	/**
	 * Build an update with the work at some targets only.
	 * @param targets the incarnations of the targets
	 * @param nextWithinMillis the longest time until the next update to the same
	 * receivers, in milliseconds
	 * @return the update, which lists targets without work as well
	 */
	LoadUpdate ofWorkAt(Set<TargetIncarnation> targets, long nextWithinMillis) {
		Map<TargetIncarnation, WorkAtTarget> work = new HashMap<>();
		targets.forEach((t) -> work.put(t, WorkAtTarget.none(t)));
		this.outputs.localWork()
			.stream()
			.filter((w) -> targets.contains(w.target()))
			.forEach((w) -> work.put(w.target(), w));
		return build(true, nextWithinMillis, List.copyOf(work.values()), List.of());
	}

	private LoadUpdate build(boolean isPartial, long nextWithinMillis, List<WorkAtTarget> work, List<String> peers) {
		this.sequence++;
		return new LoadUpdate(this.instance, this.dataCentre, this.incarnation, this.sequence, this.shuttingDown,
				isPartial, nextWithinMillis, work, this.outputs.ownBudgetUsage(), this.outputs.signals(),
				this.outputs.localDemand(), peers);
	}

}
