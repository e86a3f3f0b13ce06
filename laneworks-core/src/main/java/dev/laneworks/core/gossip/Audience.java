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

import dev.laneworks.core.directory.TargetRun;

/**
 * Chooses which of the known entries hear what.
 * <p>
 * Entries of the same data centre are near, since they use the same targets; where there
 * are few entries all of them are near.
 */
final class Audience {

	private final GossipSettings settings;

	private final String dataCentre;

	private final KnownEntries known;

	private final RandomGenerator random;

	Audience(GossipSettings settings, String dataCentre, KnownEntries known, RandomGenerator random) {
		this.settings = settings;
		this.dataCentre = dataCentre;
		this.known = known;
		this.random = random;
	}

	// All entries near by.
	List<String> near() {
		return allThat(this::isNear);
	}

	/**
	 * Return the distant entries whose turn it is at a heartbeat.
	 * @param beat the number of the heartbeat
	 * @return a part of them, so that each has its turn once in a few heartbeats
	 */
	List<String> distantAt(int beat) {
		List<String> distant = distant();
		List<String> due = new ArrayList<>();
		for (int i = 0; i < distant.size(); i++) {
			if ((i + beat) % this.settings.distantBeats() == 0) {
				due.add(distant.get(i));
			}
		}
		return due;
	}

	// All entries that are not near.
	List<String> distant() {
		return allThat((p) -> !isNear(p));
	}

	// Entries near by, chosen at random if they are many.
	List<String> someNear() {
		return someOf(near(), this.settings.fanOut());
	}

	// Some entries near by, and all that work at any of the targets.
	Set<String> concernedBy(Set<TargetRun> targets) {
		Set<String> concerned = new HashSet<>(someNear());
		concerned.addAll(allThat((p) -> p.worksAtAnyOf(targets)));
		return concerned;
	}

	// All entries if they are few, and otherwise those concerned and others at random.
	Set<String> wide(Set<TargetRun> targets) {
		Set<String> wide = concernedBy(targets);
		wide.addAll(someOf(this.known.addresses(), this.settings.mostTold()));
		return wide;
	}

	// The entries that are passed on in news, chosen at random if they are many.
	List<String> toIntroduce() {
		return someOf(this.known.addresses(), this.settings.introductions());
	}

	/**
	 * Return the first entries of each other data centre.
	 * @param count how many of each
	 * @param rank ranks an entry, given its data centre and name, as unsigned; the
	 * highest is the first
	 * @return their addresses
	 */
	List<String> firstOfOthers(int count, ToLongBiFunction<String, String> rank) {
		Map<String, List<Map.Entry<String, Peer>>> byDataCentre = this.known.all()
			.entrySet()
			.stream()
			.filter((e) -> !isSameDataCentre(e.getValue()))
			.collect(Collectors.groupingBy((e) -> e.getValue().news().dataCentre()));
		Comparator<Map.Entry<String, Peer>> highestFirst = Comparator.comparing((e) -> {
			EntryNews news = e.getValue().news();
			return rank.applyAsLong(news.dataCentre(), news.instance());
		}, (a, b) -> Long.compareUnsigned(b, a));
		return byDataCentre.values()
			.stream()
			.flatMap((all) -> all.stream().sorted(highestFirst).limit(count))
			.map(Map.Entry::getKey)
			.toList();
	}

	List<String> sameDataCentre() {
		return allThat(this::isSameDataCentre);
	}

	private boolean isNear(Peer peer) {
		return this.known.size() <= this.settings.fanOut() || isSameDataCentre(peer);
	}

	private boolean isSameDataCentre(Peer peer) {
		return peer.news().dataCentre().equals(this.dataCentre);
	}

	private List<String> allThat(Predicate<Peer> condition) {
		List<String> all = new ArrayList<>();
		this.known.all().forEach((a, p) -> {
			if (condition.test(p)) {
				all.add(a);
			}
		});
		return all;
	}

	private List<String> someOf(List<String> all, int most) {
		if (all.size() <= most) {
			return all;
		}
		List<String> mixed = new ArrayList<>(all);
		for (int i = 0; i < most; i++) {
			Collections.swap(mixed, i, this.random.nextInt(i, mixed.size()));
		}
		return List.copyOf(mixed.subList(0, most));
	}

}
