package dev.laneworks.core.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import dev.laneworks.core.directory.TargetRun;

/**
 * Holds the other entries by the address that their news come from, and sums up their
 * work.
 */
final class KnownEntries {

	private final Map<String, Peer> peers = new TreeMap<>();

	private final Map<TargetRun, WorkAtTarget> sums = new HashMap<>();

	/** The last news of entries that are gone; what they spent counts on for a window. */
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

	// By address, in its order.
	Map<String, Peer> all() {
		return this.peers;
	}

	List<String> addresses() {
		return List.copyOf(this.peers.keySet());
	}

	/**
	 * Take an entry's news, which are newer than all before from there.
	 * @param address the address that they came from
	 * @param news the news
	 * @param now the time in milliseconds
	 */
	void take(String address, EntryNews news, long now) {
		if (at(address).filter((p) -> p.isOtherProcess(news)).isPresent()) {
			remove(address);
		}
		Peer peer = this.peers.computeIfAbsent(address, (a) -> new Peer());
		sumUp(peer.take(news, now));
	}

	/**
	 * Forget an entry's work; what it spent counts on for a window.
	 * @param address the entry's address
	 * @return the entry, if it was known
	 */
	Optional<Peer> remove(String address) {
		Peer peer = this.peers.remove(address);
		if (peer != null) {
			this.departed.add(peer);
			sumUp(peer.targets());
		}
		return Optional.ofNullable(peer);
	}

	// The work that all of them have at a target; zero if they have none.
	WorkAtTarget workAt(TargetRun target) {
		return this.sums.getOrDefault(target, WorkAtTarget.none(target));
	}

	/**
	 * Return what they spent of the retry budget, those that went lately included.
	 * @param service the service's name
	 * @param windowMillis the budget's window, in milliseconds
	 * @param now the time in milliseconds
	 * @return the sum; empty while no other entry is known
	 */
	Optional<ServiceSpending> spending(String service, long windowMillis, long now) {
		this.departed.removeIf((p) -> p.silence(now) > windowMillis);
		if (this.peers.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(Stream.concat(this.peers.values().stream(), this.departed.stream())
			.flatMap((p) -> p.news().spending().stream())
			.filter((s) -> s.service().equals(service))
			.reduce(new ServiceSpending(service, 0, 0), ServiceSpending::plus));
	}

	private void sumUp(Set<TargetRun> targets) {
		for (TargetRun target : targets) {
			Optional<WorkAtTarget> sum = this.peers.values()
				.stream()
				.flatMap((p) -> p.at(target).stream())
				.reduce(WorkAtTarget::plus);
			sum.ifPresentOrElse((s) -> this.sums.put(target, s), () -> this.sums.remove(target));
		}
	}

}
