package dev.laneworks.core.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToLongFunction;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Registry of the prompt parts that crash targets, whatever else the requests hold.
 * <p>
 * Keeps the latest crashes with the prompts that were in progress, and the successes that
 * refute parts as their cause. Both also come from other entries, so that every entry
 * arrives at the same groups of suspect parts. Requests with all parts of a group are
 * quarantined, except for single trials, which begin after a time and become rarer as
 * they fail. Not thread-safe.
 *
 * @since 0.8
 */
public final class SuspectParts {

	/** The most crashes to keep; bounds the memory. */
	static final int MAX_CRASHES = 512;

	/** The most pairs of a part and a crash to keep; bounds the memory. */
	static final int MAX_ENTRIES = 32_768;

	/** The most successes in the observations for other processes. */
	private static final int MAX_REPORTED_SUCCESSES = 256;

	/**
	 * The time within which a trial ends a target, clears the parts or is given up, in
	 * milliseconds.
	 */
	static final long TRIAL_MILLIS = 3_000;

	/**
	 * The time for which a trial waits for a request without other suspect parts, in
	 * milliseconds.
	 */
	static final long UNAMBIGUOUS_TRIAL_MILLIS = 2_000;

	private final PartSettings settings;

	private final ToLongFunction<SuspectPartGroup> trialDelay;

	private final SuspectPartsListener listener;

	/** In the order in which they became known. */
	private final Map<TargetIncarnation, CrashedTarget> crashes = new LinkedHashMap<>();

	private final CrashesByPart crashesByPart;

	private final LatestPrompts latestPrompts = new LatestPrompts();

	private final SuccessfulParts successfulParts = new SuccessfulParts();

	private List<SuspectPartGroup> groups = List.of();

	/** The groups that the listener knows. */
	private List<SuspectPartGroup> announcedGroups = List.of();

	/** The end of the trial of each group that has one. */
	private final Map<SuspectPartGroup, Long> trialsUntil = new HashMap<>();

	/**
	 * Create an empty registry.
	 * @param settings the thresholds and durations
	 * @param trialDelay the time in milliseconds by which this process delays its trials
	 * of a group, so that not all processes try at once
	 * @param listener receives each change
	 */
	public SuspectParts(PartSettings settings, ToLongFunction<SuspectPartGroup> trialDelay,
			SuspectPartsListener listener) {
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.trialDelay = Objects.requireNonNull(trialDelay, "trialDelay must not be null");
		this.listener = Objects.requireNonNull(listener, "listener must not be null");
		this.crashesByPart = new CrashesByPart(settings.crashesToQuarantine(), this::latestSuccess);
	}

	/**
	 * Record a request that this process received.
	 * @param prompt the parts of the request
	 */
	public void recordReceived(PromptPartDigests prompt) {
		this.latestPrompts.add(prompt);
	}

	/**
	 * Record that a target crashed.
	 * @param incarnation the incarnation of the target
	 * @param at the time of the crash in milliseconds
	 * @param suspects the prompts of the requests of this process that may have caused it
	 * @param now the current time in milliseconds
	 */
	public void recordCrash(TargetIncarnation incarnation, long at, List<PromptPartDigests> suspects, long now) {
		if (addCrash(incarnation, at, suspects)) {
			this.listener.observed(new PartObservation.Crash(incarnation, Math.max(0, now - at), suspects), now);
			update(now);
		}
	}

	/**
	 * Record that a target completed a request, or executed it for so long that it cannot
	 * crash the target any more.
	 * @param prompt the parts of the request
	 * @param beganAt the time at which the target began to answer, in milliseconds
	 * @param now the current time in milliseconds
	 */
	public void recordSuccess(PromptPartDigests prompt, long beganAt, long now) {
		boolean isNew = false;
		for (long part : prompt.parts()) {
			if (addSuccess(prompt.account(), part, beganAt)) {
				isNew = true;
				this.listener.observed(new PartObservation.Success(prompt.account(), part, Math.max(0, now - beganAt)),
						now);
			}
		}
		if (isNew) {
			update(now);
		}
	}

	/**
	 * Handle observations of another process.
	 * @param observations the observations, which are considered together
	 * @param now the current time in milliseconds
	 */
	public void handleObservations(List<PartObservation> observations, long now) {
		boolean isNew = false;
		for (PartObservation observation : observations) {
			if (observation instanceof PartObservation.Crash crash) {
				isNew |= addCrash(crash.incarnation(), now - crash.ageMillis(), crash.suspects());
			}
		}
		for (PartObservation observation : observations) {
			if (observation instanceof PartObservation.Success success) {
				isNew |= addSuccess(success.account(), success.part(), now - success.ageMillis());
			}
		}
		if (isNew) {
			update(now);
		}
	}

	/**
	 * Return the remaining quarantine of a request.
	 * @param prompt the parts of the request
	 * @param now the current time in milliseconds
	 * @return milliseconds until the next trial; empty if the request may be sent
	 */
	public OptionalLong remainingQuarantineMillis(PromptPartDigests prompt, long now) {
		return this.groups.stream()
			.filter((g) -> g.matches(prompt))
			.mapToLong((g) -> Math.max(trialAt(g, prompt), this.trialsUntil.getOrDefault(g, Long.MIN_VALUE)) - now)
			.filter((left) -> left > 0)
			.max();
	}

	/**
	 * Record that a request is sent to a target. If it is the trial of a group, further
	 * requests of the group wait for its result.
	 * @param prompt the parts of the request
	 * @param now the current time in milliseconds
	 */
	public void recordSent(PromptPartDigests prompt, long now) {
		this.groups.stream()
			.filter((g) -> g.matches(prompt))
			.forEach((g) -> this.trialsUntil.put(g, now + TRIAL_MILLIS));
	}

	/**
	 * Return the groups that a request belongs to.
	 * @param prompt the parts of the request
	 * @return the groups, in trial or in quarantine
	 */
	public List<SuspectPartGroup> groupsOf(PromptPartDigests prompt) {
		return this.groups.stream().filter((g) -> g.matches(prompt)).toList();
	}

	/**
	 * Return the number of groups of parts that are held responsible for crashes.
	 * @return the count
	 */
	public long quarantined() {
		return this.groups.size();
	}

	/**
	 * Create observations of the crashes that other processes need: recent ones, and
	 * those of groups in quarantine. A process that has just started would hold the parts
	 * of most crashes responsible, so that successes on their parts are added.
	 * @param recentMillis the age up to which a crash is recent, in milliseconds
	 * @param now the current time in milliseconds
	 * @return the observations: successes, then crashes of groups, then other crashes
	 */
	public List<PartObservation> observations(long recentMillis, long now) {
		if (removeExpired(now)) {
			update(now);
		}
		Set<CrashedTarget> ofGroups = crashesOf(this.groups);
		List<CrashedTarget> reported = new ArrayList<>(
				this.crashes.values().stream().filter(ofGroups::contains).toList());
		this.crashes.values()
			.stream()
			.filter((c) -> !ofGroups.contains(c) && now - c.at() <= recentMillis)
			.forEach(reported::add);
		List<PartObservation> all = successesOn(reported, now);
		reported.forEach((c) -> all.add(c.observation(now)));
		return all;
	}

	private List<PartObservation> successesOn(List<CrashedTarget> reported, long now) {
		List<PartObservation> successes = new ArrayList<>();
		reported.stream()
			.flatMap((c) -> c.suspects().stream())
			.flatMap((s) -> s.parts().stream().map((p) -> new PartKey(s.account(), p)))
			.distinct()
			.filter((k) -> this.successfulParts.latest(k).isPresent())
			.limit(MAX_REPORTED_SUCCESSES)
			.forEach((k) -> successes
				.add(new PartObservation.Success(k.account(), k.part(), Math.max(0, now - latestSuccess(k)))));
		return successes;
	}

	// A crash under a request with other suspect parts would not show its cause, so that
	// requests without them are tried first.
	private long trialAt(SuspectPartGroup group, PromptPartDigests prompt) {
		long until = this.latestPrompts.isCommon(group) ? group.quarantinedUntilIfCommon() : group.quarantinedUntil();
		return until + this.trialDelay.applyAsLong(group)
				+ (hasOtherSuspectParts(prompt, group) ? UNAMBIGUOUS_TRIAL_MILLIS : 0);
	}

	private boolean hasOtherSuspectParts(PromptPartDigests prompt, SuspectPartGroup group) {
		return prompt.parts()
			.stream()
			.filter((p) -> !group.parts().contains(p))
			.anyMatch((p) -> this.crashesByPart.isSuspect(new PartKey(prompt.account(), p)));
	}

	private boolean addCrash(TargetIncarnation incarnation, long at, List<PromptPartDigests> suspects) {
		List<PromptPartDigests> prompts = suspects.stream().filter((s) -> !s.parts().isEmpty()).toList();
		if (prompts.isEmpty()) {
			return false;
		}
		CrashedTarget crash = this.crashes.computeIfAbsent(incarnation, (i) -> new CrashedTarget(i, at));
		boolean isNew = crash.merge(prompts, at);
		this.crashesByPart.add(crash);
		evictExcess();
		return isNew;
	}

	private long latestSuccess(PartKey key) {
		return this.successfulParts.latest(key).orElse(Long.MIN_VALUE);
	}

	private boolean addSuccess(long account, long part, long at) {
		PartKey key = new PartKey(account, part);
		this.successfulParts.add(key, at);
		this.successfulParts.add(key.forAllAccounts(), at);
		boolean isRefuted = this.crashesByPart.isRefutedBySuccess(key, at)
				|| this.crashesByPart.isRefutedBySuccess(key.forAllAccounts(), at);
		if (isRefuted) {
			this.crashesByPart.recordSuccess(key, at);
			this.crashesByPart.recordSuccess(key.forAllAccounts(), at);
		}
		return isRefuted;
	}

	private void update(long now) {
		List<SuspectPartGroup> before = this.announcedGroups;
		attribute(now);
		if (removeExpired(now)) {
			attribute(now);
		}
		this.announcedGroups = this.groups;
		this.trialsUntil.keySet().retainAll(this.groups);
		before.stream()
			.filter((b) -> this.groups.stream().noneMatch(b::isSame))
			.forEach((b) -> this.listener.cleared(b, now));
		this.groups.stream()
			.filter((g) -> before.stream().noneMatch(g::isSame))
			.forEach((g) -> this.listener.quarantined(g, now));
	}

	private void attribute(long now) {
		long since = now - this.settings.memoryMillis();
		this.groups = new PartAttribution(this.settings, this.crashesByPart.frequentParts(),
				(k) -> latestSuccess(k) >= since)
			.groups();
	}

	private Set<CrashedTarget> crashesOf(List<SuspectPartGroup> those) {
		Set<CrashedTarget> all = new HashSet<>();
		those.forEach((g) -> all.addAll(this.crashesByPart.crashesOf(g)));
		return all;
	}

	// Crashes of a group are kept while it is in quarantine, and for as long again, so
	// that one failed trial renews the quarantine.
	private boolean removeExpired(long now) {
		List<CrashedTarget> old = this.crashes.values()
			.stream()
			.filter((c) -> now - c.at() > this.settings.memoryMillis())
			.toList();
		if (old.isEmpty()) {
			return false;
		}
		Set<CrashedTarget> held = crashesOf(this.groups.stream().filter((g) -> isRemembered(g, now)).toList());
		List<CrashedTarget> expired = old.stream().filter((c) -> !held.contains(c)).toList();
		expired.forEach(this::remove);
		return !expired.isEmpty();
	}

	private boolean isRemembered(SuspectPartGroup group, long now) {
		long quarantineMillis = group.quarantinedUntil() - group.crashTimes().get(group.crashTimes().size() - 1);
		return now <= group.quarantinedUntil() + Math.max(this.settings.memoryMillis(), quarantineMillis);
	}

	// Evicts crashes of no group first, of each the earliest first.
	private void evictExcess() {
		if (!isOverLimit()) {
			return;
		}
		Set<CrashedTarget> ofGroups = crashesOf(this.groups);
		List<CrashedTarget> candidates = new ArrayList<>(this.crashes.values());
		candidates.sort(Comparator.comparing(ofGroups::contains));
		Iterator<CrashedTarget> next = candidates.iterator();
		while (isOverLimit()) {
			remove(next.next());
		}
	}

	private boolean isOverLimit() {
		return this.crashes.size() > MAX_CRASHES || this.crashesByPart.entries() > MAX_ENTRIES;
	}

	private void remove(CrashedTarget crash) {
		this.crashes.remove(crash.incarnation());
		this.crashesByPart.remove(crash);
	}

}
