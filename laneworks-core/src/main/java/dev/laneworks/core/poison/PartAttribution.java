package dev.laneworks.core.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
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

	/** The crashes since the latest success on each part, in ascending order of time. */
	private final Map<PartKey, List<CrashedTarget>> crashesByPart = new TreeMap<>(
			Comparator.comparingLong(PartKey::account).thenComparingLong(PartKey::part));

	private final Predicate<PartKey> soundBefore;

	/**
	 * Attribute crashes to parts.
	 * @param settings the thresholds and durations
	 * @param crashes the recorded crashes
	 * @param successes the time of the latest success on each part that crashes involved,
	 * in milliseconds
	 * @param soundBefore determines whether a part had a success lately
	 */
	PartAttribution(PartSettings settings, Collection<CrashedTarget> crashes, Map<PartKey, Long> successes,
			Predicate<PartKey> soundBefore) {
		this.settings = settings;
		this.soundBefore = soundBefore;
		crashes.stream().sorted(Comparator.comparingLong(CrashedTarget::at)).forEach((c) -> {
			for (PromptPartDigests suspect : c.suspects()) {
				for (long part : suspect.parts()) {
					PartKey key = new PartKey(suspect.account(), part);
					count(key, c, successes);
					count(key.forAllAccounts(), c, successes);
				}
			}
		});
	}

	private void count(PartKey key, CrashedTarget crash, Map<PartKey, Long> successes) {
		if (crash.at() <= successes.getOrDefault(key, Long.MIN_VALUE)) {
			return;
		}
		List<CrashedTarget> counted = this.crashesByPart.computeIfAbsent(key, (k) -> new ArrayList<>());
		if (counted.isEmpty() || counted.get(counted.size() - 1) != crash) {
			counted.add(crash);
		}
	}

	/**
	 * Determine whether a success refutes a part as the cause of a crash that counts.
	 * @param key the part, as used by one account or by all
	 * @param at the time at which the target began the successful answer
	 * @return {@code true} if crashes before that time count for the part
	 */
	boolean isRefutedBySuccess(PartKey key, long at) {
		List<CrashedTarget> counted = this.crashesByPart.getOrDefault(key, List.of());
		return !counted.isEmpty() && counted.get(0).at() <= at;
	}

	/**
	 * Determine whether a prompt has a part that is not of a group and that crashes count
	 * for.
	 * @param prompt the parts of the request
	 * @param group the group that the request belongs to
	 * @return {@code true} if a crash under the request would not show its cause
	 */
	boolean hasOtherSuspectParts(PromptPartDigests prompt, SuspectPartGroup group) {
		return prompt.parts()
			.stream()
			.filter((p) -> !group.parts().contains(p))
			.anyMatch((p) -> this.crashesByPart.containsKey(new PartKey(prompt.account(), p)));
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
			.filter((e) -> e.getKey().account() == account && e.getValue().containsAll(suspicion.crashes()))
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
