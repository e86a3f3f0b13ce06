package dev.laneworks.core.poison;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Attributes crashes of targets to prompt parts.
 * <p>
 * A crash counts for each part of the requests that may have caused it, unless a target
 * later began a successful answer on the part. The part with most crashes explains all
 * crashes that involve it, so that parts which merely ran beside it are not held
 * responsible. The next part needs enough crashes that are not explained yet.
 */
final class PartAttribution {

	private final PartSettings settings;

	private final SortedMap<PartKey, List<CrashedTarget>> crashesByPart;

	private final Predicate<PartKey> soundBefore;

	/**
	 * Attribute crashes to parts.
	 * @param settings the thresholds and durations
	 * @param crashesByPart the crashes that count for each part, in ascending order of
	 * time; parts with too few crashes for a quarantine may be left out
	 * @param soundBefore determines whether a part had a success lately
	 */
	PartAttribution(PartSettings settings, SortedMap<PartKey, List<CrashedTarget>> crashesByPart,
			Predicate<PartKey> soundBefore) {
		this.settings = settings;
		this.crashesByPart = crashesByPart;
		this.soundBefore = soundBefore;
	}

	/**
	 * Return the groups of parts to which enough crashes are attributed.
	 * @return the groups, the one with most crashes first
	 */
	List<SuspectPartGroup> groups() {
		List<SuspectPartGroup> groups = new ArrayList<>();
		Set<CrashedTarget> explained = new HashSet<>();
		Optional<Suspicion> next = strongestSuspicion(explained);
		while (next.isPresent()) {
			groups.add(group(next.get()));
			explained.addAll(next.get().crashes());
			next = strongestSuspicion(explained);
		}
		return groups;
	}

	private Optional<Suspicion> strongestSuspicion(Set<CrashedTarget> explained) {
		Optional<Suspicion> strongest = Optional.empty();
		for (Map.Entry<PartKey, List<CrashedTarget>> part : this.crashesByPart.entrySet()) {
			int needed = Math.max(requiredCrashes(part.getKey()), strongest.map((s) -> s.times().size() + 1).orElse(0));
			if (part.getValue().size() >= needed) {
				List<CrashedTarget> crashes = part.getValue().stream().filter((c) -> !explained.contains(c)).toList();
				List<Long> times = distinctTimes(crashes);
				if (times.size() >= needed && isHeldAgainst(part.getKey(), crashes)) {
					strongest = Optional.of(new Suspicion(part.getKey(), crashes, times));
				}
			}
		}
		return strongest;
	}

	// The group of the parts that all crashes of a suspicion involve.
	private SuspectPartGroup group(Suspicion suspicion) {
		long account = suspicion.key().account();
		Set<Long> inseparable = this.crashesByPart.entrySet()
			.stream()
			.filter((e) -> e.getKey().account() == account && e.getValue().size() >= suspicion.crashes().size())
			.filter((e) -> new HashSet<>(e.getValue()).containsAll(suspicion.crashes()))
			.map((e) -> e.getKey().part())
			.collect(Collectors.toSet());
		List<Long> times = suspicion.times().subList(requiredCrashes(suspicion.key()) - 1, suspicion.times().size());
		return new SuspectPartGroup(account, inseparable, suspicion.times(),
				quarantinedUntil(times, this.settings.firstQuarantineMillis(), PartSettings.TRIAL_BACKOFF),
				quarantinedUntil(times, this.settings.firstQuarantineIfCommonMillis(),
						PartSettings.TRIAL_BACKOFF_IF_COMMON));
	}

	private int requiredCrashes(PartKey key) {
		return this.soundBefore.test(key) ? this.settings.crashesIfSound() : this.settings.crashesToQuarantine();
	}

	// A part is withheld from all accounts only if it crashed targets under two of them,
	// since each account may name any part.
	private static boolean isHeldAgainst(PartKey key, List<CrashedTarget> crashes) {
		return key.account() != PartKey.ALL_ACCOUNTS || crashes.stream()
			.flatMap((c) -> c.suspects().stream())
			.filter((s) -> s.parts().contains(key.part()))
			.mapToLong(PromptPartDigests::account)
			.distinct()
			.count() > 1;
	}

	private List<Long> distinctTimes(List<CrashedTarget> crashes) {
		List<Long> times = new ArrayList<>();
		for (CrashedTarget crash : crashes) {
			if (times.isEmpty() || crash.at() - times.get(times.size() - 1) >= this.settings.distinctMillis()) {
				times.add(crash.at());
			}
		}
		return times;
	}

	// The first crash causes the quarantine; one after its end is a failed trial.
	private long quarantinedUntil(List<Long> times, long firstMillis, int backoff) {
		long duration = firstMillis;
		long until = times.get(0) + duration;
		for (long at : times.subList(1, times.size())) {
			if (at >= until) {
				duration = Math.min(this.settings.maxQuarantineMillis(), duration * backoff);
			}
			until = Math.max(until, at + duration);
		}
		return until;
	}

	/**
	 * Part with enough crashes that no stronger suspicion explains.
	 *
	 * @param key the part, as used by one account or by all
	 * @param crashes the crashes that involve it
	 * @param times the times of the crashes that count
	 */
	private record Suspicion(PartKey key, List<CrashedTarget> crashes, List<Long> times) {

	}

}
