package dev.laneworks.core.poison;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Registry of requests during whose execution targets crashed, which quarantines them
 * after too many crashes.
 * <p>
 * A request is identified by its content and its client account, so that it is recognized
 * under another id. Crashes that other entries observed count as well. A completed
 * execution clears a request of all earlier crashes. Not thread-safe.
 *
 * @since 0.4
 */
public final class SuspectRequests {

	/**
	 * The factor for the required crashes of a request that completed before, which may
	 * be executing during several unrelated crashes if clients send it often.
	 */
	private static final int COMPLETED_FACTOR = 2;

	/**
	 * The first quarantine of a request that completed before, in milliseconds; each
	 * further crash doubles it. Many targets may crash at once while they execute a
	 * request that its callers repeat all the time.
	 */
	static final long FIRST_QUARANTINE_MILLIS = 2_000;

	/** The most requests to keep; bounds the memory. */
	static final int MAX_SUSPECTS = 4_096;

	/** Ordered by latest crash, the earliest first. */
	private final Map<RequestDigest, Suspect> suspects = new LinkedHashMap<>();

	private final CompletedRequests completed = new CompletedRequests();

	private final PoisonSettings settings;

	private final SuspectListener listener;

	/**
	 * Create an empty registry.
	 * @param settings the number of crashes for a quarantine and their lifetime
	 * @param listener receives each change
	 */
	public SuspectRequests(PoisonSettings settings, SuspectListener listener) {
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.listener = Objects.requireNonNull(listener, "listener must not be null");
	}

	/**
	 * Record that a target crashed while executing a request.
	 * @param digest the digest of the request
	 * @param incarnation the incarnation of the target
	 * @param at the time of the crash in milliseconds
	 * @param now the current time in milliseconds
	 * @return {@code true} if the crash was not recorded before
	 */
	public boolean recordCrash(RequestDigest digest, TargetIncarnation incarnation, long at, long now) {
		if (now - at > this.settings.quarantineMillis()) {
			return false;
		}
		Suspect suspect = this.suspects.computeIfAbsent(digest, (d) -> new Suspect());
		if (!suspect.hasCompleted() && this.completed.contains(digest)) {
			suspect.recordCompletion(at - 1);
		}
		boolean wasQuarantined = isQuarantined(suspect, now);
		if (!suspect.recordCrash(incarnation, at)) {
			return false;
		}
		this.suspects.remove(digest);
		this.suspects.put(digest, suspect);
		evictExcess(now);
		this.listener.crashed(digest, incarnation, suspect.crashCount(), now);
		if (!wasQuarantined && isQuarantined(suspect, now)) {
			this.listener.quarantined(digest, now);
		}
		return true;
	}

	/**
	 * Record that a request completed, or that it ran for so long that it cannot be the
	 * cause of crashes.
	 * @param digest the digest of the request
	 * @param now the current time in milliseconds
	 * @return {@code true} if the request was suspect
	 */
	public boolean recordCompletion(RequestDigest digest, long now) {
		this.completed.add(digest);
		Suspect suspect = this.suspects.get(digest);
		if (suspect == null || !suspect.recordCompletion(now)) {
			return false;
		}
		this.listener.cleared(digest, now);
		return true;
	}

	/**
	 * Handle the report of another process. The completion is applied first, because it
	 * refutes the request as the cause of earlier crashes.
	 * @param report the crashes and the latest completion of one request
	 * @param now the current time in milliseconds
	 */
	public void handleReport(SuspectReport report, long now) {
		RequestDigest digest = report.digest();
		report.completionAgeMillis().ifPresent((age) -> {
			boolean isCleared = this.suspects.computeIfAbsent(digest, (d) -> new Suspect()).recordCompletion(now - age);
			if (isCleared) {
				this.listener.cleared(digest, now);
			}
		});
		report.crashes().forEach((e) -> recordCrash(digest, e.incarnation(), now - e.ageMillis(), now));
	}

	/**
	 * Return the remaining quarantine of a request.
	 * @param digest the digest of the request
	 * @param now the current time in milliseconds
	 * @return milliseconds; empty if it may be sent
	 */
	public OptionalLong remainingQuarantineMillis(RequestDigest digest, long now) {
		Suspect suspect = this.suspects.get(digest);
		if (suspect == null || !isQuarantined(suspect, now)) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(suspect.lastCrashAt() + quarantineMillis(suspect) - now);
	}

	/**
	 * Return the settings of this registry.
	 * @return the thresholds and durations in force
	 */
	public PoisonSettings settings() {
		return this.settings;
	}

	/**
	 * Return the number of further crashes until a request is quarantined.
	 * @param digest the digest of the request
	 * @return the count; 0 if there are enough
	 */
	public int remainingCrashes(RequestDigest digest) {
		Suspect suspect = this.suspects.get(digest);
		return (suspect != null) ? Math.max(0, requiredCrashes(suspect) - suspect.crashCount())
				: this.settings.crashesToQuarantine();
	}

	/**
	 * Return the targets that crashed while executing a request since it last completed.
	 * @param digest the digest of the request
	 * @return the recorded incarnations
	 */
	public Set<TargetIncarnation> crashedTargets(RequestDigest digest) {
		return Optional.ofNullable(this.suspects.get(digest))
			.map(Suspect::incarnations)
			.map(Set::copyOf)
			.orElse(Set.of());
	}

	/**
	 * Return the number of quarantined requests.
	 * @param now the current time in milliseconds
	 * @return the count
	 */
	public long quarantined(long now) {
		return this.suspects.values().stream().filter((s) -> isQuarantined(s, now)).count();
	}

	/**
	 * Create a report of one request.
	 * @param digest the digest of the request
	 * @param now the current time in milliseconds
	 * @return the report; empty if the request has no record
	 */
	public Optional<SuspectReport> report(RequestDigest digest, long now) {
		return Optional.ofNullable(this.suspects.get(digest)).map((s) -> s.report(digest, now));
	}

	/**
	 * Create reports of all requests with more than one crash, and of those with a single
	 * recent crash.
	 * @param recentMillis the age up to which a single crash is recent, in milliseconds
	 * @param limit the most reports, for the requests with the latest crashes
	 * @param now the current time in milliseconds
	 * @return one report for each such request
	 */
	public List<SuspectReport> reports(long recentMillis, int limit, long now) {
		removeExpired(now);
		List<SuspectReport> all = this.suspects.entrySet()
			.stream()
			.filter((e) -> e.getValue().crashCount() > 1
					|| (e.getValue().crashCount() == 1 && now - e.getValue().lastCrashAt() <= recentMillis))
			.map((e) -> e.getValue().report(e.getKey(), now))
			.toList();
		return all.subList(Math.max(0, all.size() - limit), all.size());
	}

	/**
	 * Return the number of recorded requests.
	 * @return the count, at most {@value #MAX_SUSPECTS}
	 */
	int size() {
		return this.suspects.size();
	}

	private boolean isQuarantined(Suspect suspect, long now) {
		return suspect.crashCount() >= requiredCrashes(suspect)
				&& now < suspect.lastCrashAt() + quarantineMillis(suspect);
	}

	private int requiredCrashes(Suspect suspect) {
		return this.settings.crashesToQuarantine() * (suspect.hasCompleted() ? COMPLETED_FACTOR : 1);
	}

	private long quarantineMillis(Suspect suspect) {
		return suspect.hasCompleted()
				? Math.min(this.settings.quarantineMillis(),
						FIRST_QUARANTINE_MILLIS << (suspect.crashCount() - requiredCrashes(suspect)))
				: this.settings.quarantineMillis();
	}

	private void evictExcess(long now) {
		if (this.suspects.size() <= MAX_SUSPECTS) {
			return;
		}
		removeExpired(now);
		Iterator<Suspect> earliestFirst = this.suspects.values().iterator();
		while (this.suspects.size() > MAX_SUSPECTS && earliestFirst.hasNext()) {
			if (!isQuarantined(earliestFirst.next(), now)) {
				earliestFirst.remove();
			}
		}
		Iterator<RequestDigest> all = this.suspects.keySet().iterator();
		while (this.suspects.size() > MAX_SUSPECTS) {
			all.next();
			all.remove();
		}
	}

	private void removeExpired(long now) {
		this.suspects.values().removeIf((s) -> now - s.lastCrashAt() > this.settings.quarantineMillis());
	}

}
