package dev.laneworks.wire;

import java.util.List;

import dev.laneworks.core.budget.RetryLoan;
import dev.laneworks.core.budget.RetryLoanRequest;
import dev.laneworks.core.follow.StoreUpdate;
import dev.laneworks.core.gossip.LoadUpdate;
import dev.laneworks.core.handover.SnapshotChunk;
import dev.laneworks.core.handover.SnapshotRequest;
import dev.laneworks.core.poison.PartObservation;
import dev.laneworks.core.poison.SuspectReport;

/**
 * Callback for messages from other entries.
 * <p>
 * Called on the thread of the {@link GossipSocket}; implementations must not block.
 *
 * @since 0.2
 */
public interface GossipListener {

	/**
	 * Handle an entry's load update.
	 * @param from the sender's address, {@code IP:PORT}
	 * @param update the update; may be older than one received before
	 */
	void loadUpdateReceived(String from, LoadUpdate update);

	/**
	 * Handle an update of the platform's store, or a request for missed changes.
	 * @param from the sender's address, {@code IP:PORT}
	 * @param update the update or request
	 */
	void storeUpdateReceived(String from, StoreUpdate update);

	/**
	 * Handle a request for a snapshot of the store.
	 * @param from the sender's address, {@code IP:PORT}
	 * @param request the request, with the first chunk that is missing
	 */
	void snapshotRequested(String from, SnapshotRequest request);

	/**
	 * Handle one chunk of a snapshot of the store.
	 * @param from the sender's address, {@code IP:PORT}
	 * @param chunk the chunk; chunks may arrive in any order
	 */
	void chunkReceived(String from, SnapshotChunk chunk);

	/**
	 * Handle reports of requests during which targets crashed.
	 * @param reports the sender's reports, one per request
	 */
	void suspectsReported(List<SuspectReport> reports);

	/**
	 * Handle observations of prompt parts during whose execution targets crashed.
	 * @param observations the observations of one datagram
	 */
	void partsObserved(List<PartObservation> observations);

	/**
	 * Handle the request of an entry for a loan of retries.
	 * @param from the sender's address, {@code IP:PORT}
	 * @param request the request; may arrive twice
	 * @since 0.6
	 */
	void loanRequested(String from, RetryLoanRequest request);

	/**
	 * Handle a loan of retries.
	 * @param loan the loan; may be late or arrive twice
	 * @since 0.6
	 */
	void loanReceived(RetryLoan loan);

}
