package dev.laneworks.core.poison;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Report of a suspect request that one process sends to others.
 *
 * @param digest the digest of the request
 * @param crashes the incarnations of targets that crashed while executing the request,
 * since its latest completion known to the sender
 * @param completionAgeMillis the time since its latest completion, in milliseconds; empty
 * if none is known
 * @since 0.4
 */
public record SuspectReport(RequestDigest digest, List<TargetCrash> crashes, OptionalLong completionAgeMillis) {

	public SuspectReport {
		Objects.requireNonNull(digest, "digest must not be null");
		Objects.requireNonNull(completionAgeMillis, "completionAgeMillis must not be null");
		crashes = List.copyOf(crashes);
		if (completionAgeMillis.isPresent() && completionAgeMillis.getAsLong() < 0) {
			throw new IllegalArgumentException("soundAgeMillis must not be negative");
		}
	}

}
