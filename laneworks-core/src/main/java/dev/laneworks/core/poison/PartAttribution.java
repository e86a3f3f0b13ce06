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
		return new SuspectPartGroup(account, inseparable, suspicion.times(),
				quarantinedUntil(suspicion.key(), suspicion.times()));
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

	// A crash after the end of the quarantine is a failed trial.
	private long quarantinedUntil(PartKey key, List<Long> times) {
		long duration = this.soundBefore.test(key) ? this.settings.firstQuarantineIfSoundMillis()
				: this.settings.firstQuarantineMillis();
		long until = Long.MIN_VALUE;
		for (long at : times.subList(requiredCrashes(key) - 1, times.size())) {
			if (until != Long.MIN_VALUE && at >= until) {
				duration = Math.min(this.settings.maxQuarantineMillis(), duration * PartSettings.TRIAL_BACKOFF);
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
