package dev.laneworks.core.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongBiFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Selects the peers that receive each gossip update.
 * <p>
 * Peers of the same data centre are near, because they use the same targets. In a small
 * fleet, all peers are near.
 */
final class ReceiverSelector {

	private final GossipSettings settings;

	private final String dataCentre;

	private final PeerTable known;

	private final RandomGenerator random;

	ReceiverSelector(GossipSettings settings, String dataCentre, PeerTable known, RandomGenerator random) {
		this.settings = settings;
		this.dataCentre = dataCentre;
		this.known = known;
		this.random = random;
	}

	List<String> near() {
		return addressesWhere(this::isNear);
	}

	/**
	 * Return the distant peers that are due at a heartbeat.
	 * @param heartbeat the number of the heartbeat
	 * @return the addresses of a part of the distant peers; each one is due once in
	 * {@link GossipSettings#distantHeartbeats} heartbeats
	 */
	List<String> distantAt(int heartbeat) {
		List<String> distant = distant();
		List<String> due = new ArrayList<>();
		for (int i = 0; i < distant.size(); i++) {
			if ((i + heartbeat) % this.settings.distantHeartbeats() == 0) {
				due.add(distant.get(i));
			}
		}
		return due;
	}

	List<String> distant() {
		return addressesWhere((p) -> !isNear(p));
	}

	// All near peers if they are few, and otherwise a random sample.
	List<String> sampleNear() {
		return sample(near(), this.settings.fanOut());
	}

	// A sample of the near peers, and all peers with work at any of the targets.
	Set<String> concernedBy(Set<TargetIncarnation> targets) {
		Set<String> concerned = new HashSet<>(sampleNear());
		concerned.addAll(addressesWhere((p) -> p.worksAtAnyOf(targets)));
		return concerned;
	}

	// All peers if they are few, and otherwise those concerned and a random sample.
	Set<String> wide(Set<TargetIncarnation> targets) {
		Set<String> wide = concernedBy(targets);
		wide.addAll(sample(this.known.addresses(), this.settings.maxWideReceivers()));
		return wide;
	}

	// The addresses to include in an update so that its receivers discover them.
	List<String> peersToAdvertise() {
		return sample(this.known.addresses(), this.settings.maxAdvertisedPeers());
	}

	/**
	 * Return the highest-ranked peers of each other data centre.
	 * @param count the number of peers for each data centre
	 * @param rank computes the rank of an entry from its data centre and name; ranks are
	 * compared as unsigned, highest first
	 * @return the addresses of the peers
	 */
	List<String> firstOfOthers(int count, ToLongBiFunction<String, String> rank) {
		Map<String, List<Map.Entry<String, Peer>>> byDataCentre = this.known.all()
			.entrySet()
			.stream()
			.filter((e) -> !isSameDataCentre(e.getValue()))
			.collect(Collectors.groupingBy((e) -> e.getValue().latest().dataCentre()));
		Comparator<Map.Entry<String, Peer>> highestFirst = Comparator.comparing((e) -> {
			LoadUpdate latest = e.getValue().latest();
			return rank.applyAsLong(latest.dataCentre(), latest.instance());
		}, (a, b) -> Long.compareUnsigned(b, a));
		return byDataCentre.values()
			.stream()
			.flatMap((all) -> all.stream().sorted(highestFirst).limit(count))
			.map(Map.Entry::getKey)
			.toList();
	}

	List<String> sameDataCentre() {
		return addressesWhere(this::isSameDataCentre);
	}

	private boolean isNear(Peer peer) {
		return this.known.size() <= this.settings.fanOut() || isSameDataCentre(peer);
	}

	private boolean isSameDataCentre(Peer peer) {
		return peer.latest().dataCentre().equals(this.dataCentre);
	}

	private List<String> addressesWhere(Predicate<Peer> condition) {
		List<String> all = new ArrayList<>();
		this.known.all().forEach((a, p) -> {
			if (condition.test(p)) {
				all.add(a);
			}
		});
		return all;
	}

	private List<String> sample(List<String> all, int sampleSize) {
		if (all.size() <= sampleSize) {
			return all;
		}
		List<String> shuffled = new ArrayList<>(all);
		for (int i = 0; i < sampleSize; i++) {
			Collections.swap(shuffled, i, this.random.nextInt(i, shuffled.size()));
		}
		return List.copyOf(shuffled.subList(0, sampleSize));
	}

}
