package dev.laneworks.core.poison;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Requests whose connection ended, kept until it is known whether the target crashed.
 * <p>
 * A connection may also be reset by a live target or by the network; such a request does
 * not become suspect. Not thread-safe.
 *
 * @since 0.4
 */
public final class BrokenConnections {

	/**
	 * The time within which a crash is attributed to a request after its connection
	 * broke, in milliseconds; covers the three missed heartbeats after which a target is
	 * removed from the list.
	 */
	static final long ATTRIBUTION_MILLIS = 4_500;

	/**
	 * The time for which a crashing process may still accept connections, in
	 * milliseconds.
	 */
	public static final long CRASHING_MILLIS = 250;

	/**
	 * The longest time for which a target may answer before a part of the prompt crashes
	 * it, in milliseconds.
	 */
	private static final long PROMPT_CRASH_MILLIS = 1_000;

	private final Map<TargetIncarnation, List<Broken>> byIncarnation = new HashMap<>();

	/**
	 * Record that the connection of a request ended.
	 * @param broken the request and the time at which its connection ended
	 * @param incarnation the incarnation of the target that executed it
	 */
	public void add(Broken broken, TargetIncarnation incarnation) {
		removeExpired(broken.brokenAt());
		this.byIncarnation.computeIfAbsent(incarnation, (r) -> new ArrayList<>()).add(broken);
	}

	/**
	 * Return the targets where a request broke off and that may still be found crashed.
	 * @param digest the digest of the request
	 * @param now the current time in milliseconds
	 * @return the incarnations of the targets
	 */
	public Set<TargetIncarnation> targetsOf(RequestDigest digest, long now) {
		removeExpired(now);
		return this.byIncarnation.entrySet()
			.stream()
			.filter((e) -> e.getValue().stream().anyMatch((b) -> b.digest().equals(digest)))
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

	/**
	 * Handle the end of a target and remove its requests.
	 * @param incarnation the incarnation of the target
	 * @param now the current time in milliseconds
	 * @return the requests that broke off there recently enough
	 */
	public List<Broken> takeAfterCrash(TargetIncarnation incarnation, long now) {
		removeExpired(now);
		List<Broken> requests = this.byIncarnation.remove(incarnation);
		return (requests != null) ? requests : List.of();
	}

	/**
	 * Handle a connection that a target accepted. Earlier breaks then have another cause
	 * than a crash, except for the latest ones, since a crashing process may still accept
	 * connections.
	 * @param incarnation the incarnation of the target
	 * @param now the current time in milliseconds
	 * @return the requests whose connections ended while the target lived
	 */
	public List<Broken> connectionAccepted(TargetIncarnation incarnation, long now) {
		List<Broken> requests = this.byIncarnation.getOrDefault(incarnation, new ArrayList<>());
		List<Broken> outlived = requests.stream().filter((b) -> now - b.brokenAt() >= CRASHING_MILLIS).toList();
		requests.removeAll(outlived);
		removeExpired(now);
		return outlived;
	}

	/**
	 * Remove the requests of a target that announced its end, since they did not crash
	 * it.
	 * @param incarnation the incarnation of the target
	 */
	public void remove(TargetIncarnation incarnation) {
		this.byIncarnation.remove(incarnation);
	}

	private void removeExpired(long now) {
		this.byIncarnation.values().forEach((l) -> l.removeIf((b) -> now - b.brokenAt() > ATTRIBUTION_MILLIS));
		this.byIncarnation.values().removeIf(List::isEmpty);
	}

	/**
	 * A request whose connection ended.
	 *
	 * @param digest the digest of the request
	 * @param requestId the id of the request
	 * @param prompt the parts of its prompt
	 * @param beganAt the time at which the target began to answer, in milliseconds; empty
	 * if it had not
	 * @param brokenAt the time at which the connection ended, in milliseconds
	 * @param mayClear whether the connection ended as it does after a successful answer,
	 * which clears the request if the target did not crash
	 */
	public record Broken(RequestDigest digest, String requestId, PromptPartDigests prompt, OptionalLong beganAt,
			long brokenAt, boolean mayClear) {

		/**
		 * Determine whether the prompt may have crashed the target, which it does as the
		 * target begins to answer.
		 * @return {@code false} if the target had answered for a while
		 */
		public boolean isPromptSuspect() {
			return this.beganAt.isEmpty() || this.brokenAt - this.beganAt.getAsLong() <= PROMPT_CRASH_MILLIS;
		}

	}

}
