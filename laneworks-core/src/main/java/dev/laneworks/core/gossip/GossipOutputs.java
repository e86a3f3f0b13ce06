package dev.laneworks.core.gossip;

import java.util.List;

import dev.laneworks.core.directory.TargetRun;

/**
 * What {@link Gossip} needs from its process.
 *
 * @since 0.2
 */
public interface GossipOutputs {

	/**
	 * Send news to an entry; it may be lost on its way.
	 * @param address the entry's address, {@code IP:PORT}
	 * @param news the news
	 */
	void send(String address, EntryNews news);

	/**
	 * Take that a target said to another entry that it is leaving.
	 * @param target the run of the target that said so
	 */
	void heardLeaving(TargetRun target);

	/**
	 * Take what targets said that they need, as another entry tells.
	 * @param news what they said to it, or to one that it heard it from
	 */
	void heardNeeds(NeedsNews news);

	/**
	 * Return what targets said that they need.
	 * @return what is known of that, heard from others included
	 */
	NeedsNews needs();

	/**
	 * Return this entry's own work.
	 * @return its work at each target where it has any
	 */
	List<WorkAtTarget> ownWork();

	/**
	 * Return what this entry spent of the retry budget in the window.
	 * @return its spending on each service that it saw requests for
	 */
	List<ServiceSpending> ownSpending();

}
