package dev.laneworks.core.routing;

import java.util.ArrayList;
import java.util.List;

import dev.laneworks.core.configuration.TargetDescription;

/**
 * Selects the bounded subset of targets that one entry uses for a model.
 * <p>
 * The subset is a pure function of the name of the entry and the published targets. It
 * contains up to a full share of targets in the data centre of the entry, and a smaller
 * share in each other data centre so that requests can spill.
 *
 * @since 0.1
 */
public final class TargetSubset {

	private final String entry;

	private final String dataCentre;

	private final int ownShare;

	private final int otherShare;

	/**
	 * Create a subset selector.
	 * @param entry the name of the entry
	 * @param dataCentre the data centre of the entry
	 * @param ownShare the most targets of a model in the data centre of the entry
	 * @param otherShare the most targets of a model in each other data centre
	 */
	public TargetSubset(String entry, String dataCentre, int ownShare, int otherShare) {
		if (ownShare < 1 || otherShare < 0) {
			throw new IllegalArgumentException(
					"ownShare must be at least 1 and otherShare at least 0 but are " + ownShare + ", " + otherShare);
		}
		this.entry = entry;
		this.dataCentre = dataCentre;
		this.ownShare = ownShare;
		this.otherShare = otherShare;
	}

	/**
	 * Select the subset for a model.
	 * @param model the model or service
	 * @param targets the published targets that serve it
	 * @return the subset, with targets of the same data centre first
	 */
	public List<TargetDescription> choose(String model, List<TargetDescription> targets) {
		long key = Rendezvous.hash(this.entry + ' ' + model);
		List<TargetDescription> subset = new ArrayList<>(share(key, targets, this.dataCentre, this.ownShare));
		targets.stream()
			.map(TargetDescription::dataCentre)
			.distinct()
			.filter((d) -> !d.equals(this.dataCentre))
			.forEach((d) -> subset.addAll(share(key, targets, d, this.otherShare)));
		return List.copyOf(subset);
	}

	private static List<TargetDescription> share(long key, List<TargetDescription> targets, String dataCentre,
			int count) {
		List<TargetDescription> local = targets.stream().filter((t) -> t.dataCentre().equals(dataCentre)).toList();
		return Rendezvous.top(key, local, TargetDescription::name, count);
	}

}
