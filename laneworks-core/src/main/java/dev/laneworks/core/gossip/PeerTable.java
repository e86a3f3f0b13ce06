package dev.laneworks.core.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Table of the known peers by address, with totals of their work by target.
 */
final class PeerTable {

	private final Map<String, Peer> peers = new TreeMap<>();

	private final Map<TargetIncarnation, WorkAtTarget> totals = new HashMap<>();

	/** The time of the latest update by data centre, including those of removed peers. */
	private final Map<String, Long> heardAt = new HashMap<>();

	/**
	 * Peers that were removed. Their use of the retry budget counts for one more window.
	 */
	private final List<Peer> departed = new ArrayList<>();

	int size() {
		return this.peers.size();
	}

	boolean contains(String address) {
		return this.peers.containsKey(address);
	}

	Optional<Peer> at(String address) {
		return Optional.ofNullable(this.peers.get(address));
	}

	// Sorted by address.
	Map<String, Peer> all() {
		return this.peers;
	}

	List<String> addresses() {
		return List.copyOf(this.peers.keySet());
	}

	/**
	 * Apply an update, which must be newer than all before from the same address.
	 * @param address the address of the sender
	 * @param update the load update, complete or partial
	 * @param now the current time in milliseconds
	 */
	void apply(String address, LoadUpdate update, long now) {
		if (at(address).filter((p) -> p.isOtherProcess(update)).isPresent()) {
			remove(address);
		}
		Peer peer = this.peers.computeIfAbsent(address, (a) -> new Peer());
		updateTotals(peer.apply(update, now));
		this.heardAt.put(update.dataCentre(), now);
	}

	// The time since the latest update from a data centre in milliseconds; 0 if there was
	// none.
	long silentMillis(String dataCentre, long now) {
		return now - this.heardAt.getOrDefault(dataCentre, now);
	}

	/**
	 * Remove a peer and its work. Its use of the retry budget counts for one more window.
	 * @param address the address of the peer
	 * @return the peer, or empty if it is unknown
	 */
	Optional<Peer> remove(String address) {
		Peer peer = this.peers.remove(address);
		if (peer != null) {
			this.departed.add(peer);
			updateTotals(peer.targets());
		}
		return Optional.ofNullable(peer);
	}

	// The total work at a target; zero if there is none.
	WorkAtTarget workAt(TargetIncarnation target) {
		return this.totals.getOrDefault(target, WorkAtTarget.none(target));
	}

	/**
	 * Return the total use of the retry budget, including peers that were removed within
	 * the window.
	 * @param service the name of the service
	 * @param windowMillis the window of the budget, in milliseconds
	 * @param now the current time in milliseconds
	 * @return the sum; empty while no peer is known
	 */
	Optional<RetryBudgetUsage> budgetUsage(String service, long windowMillis, long now) {
		this.departed.removeIf((p) -> p.silentMillis(now) > windowMillis);
		if (this.peers.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(Stream.concat(this.peers.values().stream(), this.departed.stream())
			.flatMap((p) -> p.latest().budgetUsage().stream())
			.filter((s) -> s.service().equals(service))
			.reduce(new RetryBudgetUsage(service, 0, 0), RetryBudgetUsage::plus));
	}

	// The latest use of the retry budget by the address of each peer.
	Map<String, RetryBudgetUsage> budgetUsageByEntry(String service) {
		Map<String, RetryBudgetUsage> usage = new HashMap<>();
		this.peers.forEach((address, peer) -> usage.put(address,
				peer.latest()
					.budgetUsage()
					.stream()
					.filter((u) -> u.service().equals(service))
					.findFirst()
					.orElse(new RetryBudgetUsage(service, 0, 0))));
		return usage;
	}

	/**
	 * Return the total demand for a service at the peers of a data centre.
	 * @param service the name of the service
	 * @param dataCentre tests the data centre of a peer
	 * @return the sum; no demand if no such peer is known
	 */
	ServiceDemand demand(String service, Predicate<String> dataCentre) {
		return this.peers.values()
			.stream()
			.map(Peer::latest)
			.filter((u) -> dataCentre.test(u.dataCentre()))
			.flatMap((u) -> u.demand().stream())
			.filter((d) -> d.service().equals(service))
			.reduce(ServiceDemand.none(service), ServiceDemand::plus);
	}

	private void updateTotals(Set<TargetIncarnation> targets) {
		for (TargetIncarnation target : targets) {
			Optional<WorkAtTarget> sum = this.peers.values()
				.stream()
				.flatMap((p) -> p.reportedWork(target).stream())
				.reduce(WorkAtTarget::plus);
			sum.ifPresentOrElse((s) -> this.totals.put(target, s), () -> this.totals.remove(target));
		}
	}

}
