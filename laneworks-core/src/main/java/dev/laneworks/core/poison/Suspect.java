package dev.laneworks.core.poison;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * State of a request during whose execution targets crashed.
 */
final class Suspect {

	/** The most incarnations to keep; the earliest are dropped first. */
	private static final int MAX_INCARNATIONS = 12;

	/** The time of each crash, in the order of recording. */
	private final Map<TargetIncarnation, Long> crashTimes = new LinkedHashMap<>();

	private OptionalLong completedAt = OptionalLong.empty();

	private long lastCrashAt = Long.MIN_VALUE / 2;

	/**
	 * Record that a target crashed while executing the request.
	 * @param incarnation the incarnation of the target
	 * @param at the time of the crash in milliseconds
	 * @return {@code true} if it is new and after the latest completion of the request
	 */
	boolean recordCrash(TargetIncarnation incarnation, long at) {
		boolean isRefuted = this.completedAt.isPresent() && at <= this.completedAt.getAsLong();
		if (isRefuted || this.crashTimes.containsKey(incarnation)) {
			return false;
		}
		if (this.crashTimes.size() == MAX_INCARNATIONS) {
			this.crashTimes.remove(this.crashTimes.keySet().iterator().next());
		}
		this.crashTimes.put(incarnation, at);
		this.lastCrashAt = Math.max(this.lastCrashAt, at);
		return true;
	}

	/**
	 * Record that the request completed, which refutes it as the cause of earlier
	 * crashes.
	 * @param at the time of completion in milliseconds
	 * @return {@code true} if recorded crashes were removed
	 */
	boolean recordCompletion(long at) {
		if (this.completedAt.isEmpty() || this.completedAt.getAsLong() < at) {
			this.completedAt = OptionalLong.of(at);
		}
		return this.crashTimes.values().removeIf((t) -> t <= at);
	}

	boolean hasCompleted() {
		return this.completedAt.isPresent();
	}

	int crashCount() {
		return this.crashTimes.size();
	}

	// The time of the latest crash.
	long lastCrashAt() {
		return this.lastCrashAt;
	}

	Set<TargetIncarnation> incarnations() {
		return this.crashTimes.keySet();
	}

	SuspectReport report(RequestDigest digest, long now) {
		List<TargetCrash> crashes = this.crashTimes.entrySet()
			.stream()
			.map((e) -> new TargetCrash(e.getKey(), Math.max(0, now - e.getValue())))
			.toList();
		OptionalLong completionAge = this.completedAt.isPresent()
				? OptionalLong.of(Math.max(0, now - this.completedAt.getAsLong())) : OptionalLong.empty();
		return new SuspectReport(digest, crashes, completionAge);
	}

}
